#include "Gateway/Relay.h"

#include <algorithm>

namespace Gateway {

namespace {

    /// A node that couldn't relay a request gets no more of them for this time.
    constexpr milliseconds unusableTime { 1000 };
    constexpr int badGatewayStatus = 502;
    constexpr int gatewayTimeoutStatus = 504;

    enum class distance {
        SameZone,
        SameRegion,
        Far,
    };

    distance distanceTo(const Scheduling::location& own, const relay_peer& peer)
    {
        if (peer.zone == own.zone)
            return distance::SameZone;
        const auto region = own.regions.find(peer.zone);
        return region != own.regions.end() && region->second == own.region ? distance::SameRegion : distance::Far;
    }

} // namespace

std::optional<relay_peer> chooseRelay(gateway_state& state, const proxied_call& call, const std::set<Common::node_id>& among, Common::instant now)
{
    std::vector<relay_peer> nearest;
    distance nearestDistance = distance::Far;
    for (const relay_peer& peer : state.relayPeers) {
        const auto unusable = state.unusableRelays.find(peer.node);
        if (!among.empty() && !among.contains(peer.node))
            continue;
        if (call.triedRelays.contains(peer.node) || (unusable != state.unusableRelays.end() && now < unusable->second))
            continue;
        const distance peerDistance = distanceTo(state.scheduler.ownLocation, peer);
        if (peerDistance < nearestDistance)
            nearest.clear();
        if (nearest.empty() || peerDistance == nearestDistance) {
            nearest.push_back(peer);
            nearestDistance = peerDistance;
        }
    }
    if (nearest.empty())
        return {};
    return nearest[Common::uniformBelow(state.scheduler.random, static_cast<uint32_t>(nearest.size()))];
}

void recordRelayEnd(gateway_state& state, const proxied_call& call, attempt_end outcome, Common::instant now)
{
    if (outcome == attempt_end::NotSent)
        state.unusableRelays[*call.currentAttempt->relayedTo] = now + unusableTime;
}

attempt_end classifyRelayed(const proxied_call& call)
{
    const attempt& current = *call.currentAttempt;
    if (current.response.hasNoPath)
        return attempt_end::NotSent;
    const bool isUnknown = current.status == badGatewayStatus || current.status == gatewayTimeoutStatus;
    // The other node's word that the request didn't run holds for its own attempts only.
    const bool mayHaveRunBefore = call.progress.endpointsRun > 0;
    return isUnknown || mayHaveRunBefore || call.progress.hasHeadSent ? attempt_end::Broken : attempt_end::Answered;
}

} // namespace Gateway
