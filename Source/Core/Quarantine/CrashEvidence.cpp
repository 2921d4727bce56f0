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

void addUnanswered(crash_evidence& evidence, unanswered_request request)
{
    if (evidence.pending.size() >= maxPendingRequests)
        evidence.pending.pop_front();
    evidence.pending.push_back(std::move(request));
}

std::vector<unanswered_request> takeCrashed(crash_evidence& evidence, const endpoint_start& start)
{
    std::vector<unanswered_request> crashed;
    std::erase_if(evidence.pending, [&](unanswered_request& request) {
        if (request.start != start)
            return false;
        crashed.push_back(request);
        return true;
    });
    return crashed;
}

std::vector<unanswered_request> takeVanished(crash_evidence& evidence, const Fleet::endpoint_map& listed, Common::instant now)
{
    std::vector<unanswered_request> crashed;
    std::erase_if(evidence.pending, [&](unanswered_request& request) {
        const endpoint_fate fate = fateOf(request.start, listed);
        const bool isExpired = now - request.endedAt > pendingLifetime;
        if (fate == endpoint_fate::Vanished && !isExpired)
            crashed.push_back(request);
        return fate != endpoint_fate::Listed || isExpired;
    });
    return crashed;
}

void clearStillUp(crash_evidence& evidence, const endpoint_start& start, Common::instant upAt)
{
    std::erase_if(evidence.pending, [&](const unanswered_request& request) { return request.start == start && request.endedAt < upAt; });
}

} // namespace Quarantine
