#pragma once

/// @file
/// What an engine probably keeps of earlier prompts: the parts that were sent to it, the least recently used leaving
/// first when its memory is full.

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

/// @param cache what an engine keeps.
/// @param parts the parts of a prompt in order.
/// @return tokens at the prompt's start that need not be read again.
uint32_t cachedTokens(const prompt_cache& cache, const std::vector<prompt_part>& parts);

/// Records that an engine reads these parts now.
void rememberParts(prompt_cache& cache, const std::vector<prompt_part>& parts);

} // namespace Scheduling
