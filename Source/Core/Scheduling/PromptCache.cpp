#include "Scheduling/PromptCache.h"

namespace Scheduling {

namespace {

    void evictTo(prompt_cache& cache, uint64_t tokens)
    {
        while (cache.usedTokens > tokens && !cache.byUse.empty()) {
            cache.usedTokens -= cache.byUse.back().tokens;
            cache.byId.erase(cache.byUse.back().id);
            cache.byUse.pop_back();
        }
    }

    void recordPart(prompt_cache& cache, const prompt_part& part)
    {
        const auto cached = cache.byId.find(part.id);
        if (cached != cache.byId.end()) {
            cache.byUse.splice(cache.byUse.begin(), cache.byUse, cached->second);
            return;
        }
        cache.byUse.push_front({ part.id, part.tokens });
        cache.byId.emplace(part.id, cache.byUse.begin());
        cache.usedTokens += part.tokens;
    }

} // namespace

uint32_t cachedTokens(const prompt_cache& cache, const std::vector<prompt_part>& parts)
{
    uint32_t tokens = 0;
    for (const prompt_part& part : parts) {
        if (!cache.byId.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void recordParts(prompt_cache& cache, const std::vector<prompt_part>& parts)
{
    // Recorded last to first: the first part is shared by most prompts, so it is evicted last.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
        recordPart(cache, *part);
    evictTo(cache, cache.capacityTokens);
}

} // namespace Scheduling
