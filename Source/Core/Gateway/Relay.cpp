#include "Gateway/Relay.h"

#include "Gateway/AttemptOutcome.h"
#include "Gateway/HomeRegions.h"

#include <map>
#include <set>
#include <vector>

namespace Gateway {

namespace {

    /// A node that couldn't relay a request gets no more of them for this time.
    constexpr milliseconds unusableTime { 3000 };
    /// With so many of them in a zone, the zone's other nodes are asked last: they may all have lost their paths.
    constexpr size_t unusableInSuspectZone = 2;
    constexpr size_t maxRelaysTried = 8;
    /// A node that hasn't begun to answer in this time may be frozen or cut off.
    constexpr milliseconds minSilence { 1000 };
    constexpr int badGatewayStatus = 502;
    constexpr int gatewayTimeoutStatus = 504;

    enum class distance {
        SameZone,
        SameRegion,
        Far,
        SuspectZone,
    };

    bool isUnusable(const gateway_state& state, const relay_peer& peer, Common::instant now)
    {
        const auto unusable = state.unusableRelays.find(peer.node);
        return unusable != state.unusableRelays.end() && now < unusable->second;
    }

    /// @return the zones in which several nodes couldn't relay.
    std::set<Common::zone_name> findSuspectZones(const gateway_state& state, Common::instant now)
    {
        std::map<Common::zone_name, size_t> unusable;
        for (const relay_peer& peer : state.relayPeers) {
            if (isUnusable(state, peer, now))
                ++unusable[peer.zone];
        }
        std::set<Common::zone_name> suspect;
        for (const auto& [zone, count] : unusable) {
            if (count >= unusableInSuspectZone)
                suspect.insert(zone);
        }
        return suspect;
    }

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
    if (call.triedRelays.size() >= maxRelaysTried)
        return {};
    const allowed_regions allowed = findAllowedRegions(state, call);
    const std::set<Common::zone_name> suspectZones = findSuspectZones(state, now);
    std::vector<relay_peer> nearest;
    distance nearestDistance = distance::SuspectZone;
    for (const relay_peer& peer : state.relayPeers) {
        if (!among.empty() && !among.contains(peer.node))
            continue;
        if (call.triedRelays.contains(peer.node) || isUnusable(state, peer, now) || !maySendBody(state.scheduler.ownLocation, allowed, peer.zone))
            continue;
        const distance peerDistance = suspectZones.contains(peer.zone) ? distance::SuspectZone : distanceTo(state.scheduler.ownLocation, peer);
        if (peerDistance > nearestDistance)
            continue;
        if (peerDistance < nearestDistance)
            nearest.clear();
        nearestDistance = peerDistance;
        nearest.push_back(peer);
    }
    if (nearest.empty())
        return {};
    return nearest[Common::uniformBelow(state.scheduler.random, static_cast<uint32_t>(nearest.size()))];
}

void recordRelayEnd(gateway_state& state, const proxied_call& call, attempt_end outcome, Common::instant now)
{
    const bool isSilent = !call.currentAttempt->headReceived && now - call.currentAttempt->begun > minSilence;
    if (outcome == attempt_end::NotSent || isSilent)
        state.unusableRelays[*call.currentAttempt->relayedTo] = now + unusableTime;
}

attempt_end classifyRelayed(const proxied_call& call)
{
    const attempt& current = *call.currentAttempt;
    if (!namesRequest(call))
        return attempt_end::Broken;
    if (current.response.hasNoPath)
        return attempt_end::NotSent;
    const bool isUnknown = current.status == badGatewayStatus || current.status == gatewayTimeoutStatus;
    // The other node's word that the request didn't run holds for its own attempts only.
    const bool mayHaveRunBefore = call.progress.endpointsRun > 0;
    return isUnknown || mayHaveRunBefore || call.progress.hasHeadSent ? attempt_end::Broken : attempt_end::Answered;
}

} // namespace Gateway
