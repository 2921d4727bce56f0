#pragma once

/// @file
/// Estimate of an engine's prompt cache: the prompt parts that were sent to it, evicted least recently used first
/// when the capacity is exceeded.

#include "Scheduling/Work.h"

#include <list>
#include <unordered_map>

namespace Scheduling {

struct prompt_cache {
    struct entry {
        std::string id;
        uint32_t tokens { 0 };
    };

    uint64_t capacityTokens { 0 };
    uint64_t usedTokens { 0 };
    std::list<entry> byUse; ///< Most recently used first.
    std::unordered_map<std::string, std::list<entry>::iterator> byId;
};

/// @param cache estimate of the engine's prompt cache.
/// @param parts the parts of a prompt in order.
/// @return number of tokens of the longest cached prefix, which the engine need not process again.
uint32_t cachedTokens(const prompt_cache& cache, const std::vector<prompt_part>& parts);

/// Records that a prompt of these parts was sent to the engine; evicts parts beyond the capacity.
/// @param parts the parts of the prompt in order.
void recordParts(prompt_cache& cache, const std::vector<prompt_part>& parts);

} // namespace Scheduling
