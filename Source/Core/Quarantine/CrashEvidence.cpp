#include "Quarantine/CrashEvidence.h"

#include <utility>

namespace Quarantine {

namespace {

    enum class endpoint_fate {
        Listed,
        Leaving,
        Vanished,
    };

    endpoint_fate fateOf(const endpoint_start& start, const Fleet::endpoint_map& listed)
    {
        const auto found = listed.find(start.endpoint);
        if (found == listed.end() || found->second.started != start.started)
            return endpoint_fate::Vanished;
        return found->second.phase == Fleet::endpoint_phase::Leaving ? endpoint_fate::Leaving : endpoint_fate::Listed;
    }

} // namespace

void addBrokenResponse(crash_evidence& evidence, broken_response response)
{
    if (evidence.pending.size() >= maxPendingResponses)
        evidence.pending.pop_front();
    evidence.pending.push_back(std::move(response));
}

std::vector<broken_response> takeCrashed(crash_evidence& evidence, const endpoint_start& start)
{
    std::vector<broken_response> crashed;
    std::erase_if(evidence.pending, [&](broken_response& response) {
        if (response.start != start)
            return false;
        crashed.push_back(response);
        return true;
    });
    return crashed;
}

std::vector<broken_response> takeVanished(crash_evidence& evidence, const Fleet::endpoint_map& listed, Common::instant now)
{
    std::vector<broken_response> crashed;
    std::erase_if(evidence.pending, [&](broken_response& response) {
        const endpoint_fate fate = fateOf(response.start, listed);
        const bool isExpired = now - response.brokenAt > pendingLifetime;
        if (fate == endpoint_fate::Vanished && !isExpired)
            crashed.push_back(response);
        return fate != endpoint_fate::Listed || isExpired;
    });
    return crashed;
}

void clearStillUp(crash_evidence& evidence, const endpoint_start& start, Common::instant upAt)
{
    std::erase_if(evidence.pending, [&](const broken_response& response) { return response.start == start && response.brokenAt < upAt; });
}

} // namespace Quarantine
