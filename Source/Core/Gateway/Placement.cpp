#include "Gateway/Placement.h"

#include "Gateway/BrittleEndpoints.h"
#include "Gateway/HomeRegions.h"

#include <algorithm>

namespace Gateway {

namespace {

    constexpr int unavailableStatus = 503;
    /// Retry-After when none of the tried endpoints ran the request, and another one may.
    constexpr milliseconds retryAfterNotRun { 500 };

    Scheduling::placement_request workOf(const proxied_call& call)
    {
        Scheduling::placement_request work;
        work.service = call.service;
        work.model = call.facts.model;
        work.arrived = call.arrived;
        work.deadline = call.deadline;
        return work;
    }

    /// @return whether an endpoint of the service takes requests that isn't of these versions.
    bool hasOtherVersion(const gateway_state& state, const Common::service_name& service, const std::set<Common::version_name>& versions)
    {
        Scheduling::placement_limits limits;
        limits.neverVersions = versions;
        limits.neverZones = state.evacuatedZones;
        return Scheduling::hasEndpoint(state.scheduler, service, limits);
    }

    /// @param unusable a version that can't serve the request; may be empty.
    /// @return the versions that a request which isn't selected for one of them must not use: all that have a share. If no other
    /// is ready, those that are held back; if there is none else either, none, since to refuse the request would help nobody.
    std::set<Common::version_name> findExcludedVersions(const gateway_state& state, const version_share_update& shares, const std::optional<Common::version_name>& unusable)
    {
        std::set<Common::version_name> withShare;
        std::set<Common::version_name> heldBack;
        if (unusable)
            heldBack.insert(*unusable);
        for (const auto& [version, thousandths] : shares.thousandths) {
            withShare.insert(version);
            if (thousandths == 0)
                heldBack.insert(version);
        }
        if (hasOtherVersion(state, shares.service, withShare))
            return withShare;
        return hasOtherVersion(state, shares.service, heldBack) ? heldBack : std::set<Common::version_name> {};
    }

    /// During a rollout a randomly selected share of the requests goes to the new version, all others to the old ones.
    void restrictVersions(gateway_state& state, const proxied_call& call, Scheduling::placement_limits& limits)
    {
        constexpr uint32_t allRequests = 1000;
        const auto known = state.versionShares.find(call.service);
        if (known == state.versionShares.end())
            return;
        uint32_t point = Common::uniformBelow(state.scheduler.random, allRequests);
        for (const auto& [version, thousandths] : known->second.thousandths) {
            if (point < thousandths) {
                limits.onlyVersion = version;
                return;
            }
            point -= thousandths;
        }
        limits.neverVersions = findExcludedVersions(state, known->second, {});
    }

    EndpointLimits::endpoint_start startOf(const gateway_state& state, const Common::endpoint_id& id)
    {
        return { id, state.scheduler.endpoints.at(id).facts.started };
    }

    /// @return the endpoints of the service that take no more requests now.
    std::set<Common::endpoint_id> findLimited(gateway_state& state, const Common::service_name& service, Common::instant now)
    {
        std::set<Common::endpoint_id> limited = findFullBrittle(state, service);
        for (const EndpointLimits::endpoint_start& start : EndpointLimits::findLimitedStarts(state.endpointLimits, now)) {
            const auto endpoint = state.scheduler.endpoints.find(start.endpoint);
            if (endpoint == state.scheduler.endpoints.end() || endpoint->second.facts.service != service)
                continue;
            if (!EndpointLimits::maySend(state.endpointLimits, { start.endpoint, endpoint->second.facts.started }, now))
                limited.insert(start.endpoint);
        }
        return limited;
    }

    void recordMissedTokens(gateway_state& state, const std::vector<Common::endpoint_id>& endpoints, Common::instant now)
    {
        for (const Common::endpoint_id& id : endpoints) {
            if (EndpointLimits::findRate(state.endpointLimits, startOf(state, id), now) > 0)
                EndpointLimits::recordMissedToken(state.endpointLimits, startOf(state, id));
        }
    }

    /// @return when the first of the endpoints may take a request; the given time if none is limited.
    milliseconds retryAfterLimited(const gateway_state& state, const Scheduling::refusal& refusal, Common::instant now)
    {
        std::optional<milliseconds> earliest;
        for (const Common::endpoint_id& id : refusal.limited) {
            const milliseconds left = EndpointLimits::timeToNextAsk(state.endpointLimits, startOf(state, id), now);
            earliest = earliest ? std::min(*earliest, left) : left;
        }
        return std::max(refusal.retryAfter, earliest.value_or(refusal.retryAfter));
    }

    /// A request that limited endpoints don't take is demand that others would have to serve.
    void recordUnservedDemand(gateway_state& state, const proxied_call& call)
    {
        const bool isCounted = call.attemptCount > 0 || call.tokenWaitEnd || !call.facts.model;
        if (!isCounted)
            state.interval.demand.engineMs[call.service] += Scheduling::engineMs(state.scheduler, call.service, call.facts.model->promptTokens, *call.facts.model);
    }

    /// Records the use of tokens, and which ones are missing.
    void recordTokens(gateway_state& state, const proxied_call& call, tl::expected<Scheduling::placement, Scheduling::refusal>& placed, Common::instant now)
    {
        if (!placed) {
            recordMissedTokens(state, placed.error().limited, now);
            if (placed.error().reason != Scheduling::refusal_reason::Limited)
                return;
            placed.error().retryAfter = retryAfterLimited(state, placed.error(), now);
            return recordUnservedDemand(state, call);
        }
        recordMissedTokens(state, placed->betterLimited, now);
        EndpointLimits::useToken(state.endpointLimits, { placed->endpoint, placed->started }, now);
    }

} // namespace

tl::expected<Scheduling::placement, Scheduling::refusal> choosePlacement(gateway_state& state, const proxied_call& call, Common::instant now)
{
    if (call.attemptCount > 0 && !Quarantine::maySendElsewhere(state.quarantine, call.fingerprints, call.progress.endpointsRun > 0, call.isTrial, now))
        return tl::unexpected(Scheduling::refusal { Scheduling::refusal_reason::Quarantined, Quarantine::firstTrialInterval });
    Scheduling::placement_limits limits;
    limits.avoided = call.triedEndpoints;
    limits.limited = findLimited(state, call.service, now);
    limits.onlyRegions = findAllowedRegions(state, call);
    limits.neverZones = state.evacuatedZones;
    restrictVersions(state, call, limits);
    auto placed = Scheduling::place(state.scheduler, workOf(call), limits, now);
    if (!placed && limits.onlyVersion) {
        // No endpoint of the new version can serve the request, so it falls back to the others instead of being rejected.
        limits.neverVersions = findExcludedVersions(state, state.versionShares.at(call.service), limits.onlyVersion);
        limits.onlyVersion.reset();
        placed = Scheduling::place(state.scheduler, workOf(call), limits, now);
    }
    recordTokens(state, call, placed, now);
    return placed;
}

bool mayWaitForToken(const gateway_state& state, const proxied_call& call, const Scheduling::refusal& refusal, Common::instant now)
{
    // Before its first attempt a request has nothing that would have to be ended.
    if (refusal.reason != Scheduling::refusal_reason::Limited || call.attemptCount > 0)
        return false;
    if (call.tokenWaitEnd && now >= *call.tokenWaitEnd)
        return false;
    if (hasFullBrittle(state, refusal.limited))
        return true;
    return std::any_of(refusal.limited.begin(), refusal.limited.end(), [&state](const Common::endpoint_id& id) {
        return EndpointLimits::isAwaitingGrant(state.endpointLimits, startOf(state, id));
    });
}

request_rejection rejectUnplaced(const Scheduling::refusal& refusal)
{
    const bool isBackingOff = refusal.reason == Scheduling::refusal_reason::BackingOff;
    return { unavailableStatus, Scheduling::nameOf(refusal.reason), refusal.retryAfter, isBackingOff };
}

request_rejection rejectNotRun(const gateway_state& state, const proxied_call& call, attempt_end outcome, Common::instant now)
{
    const milliseconds backoff = Scheduling::backoffLeft(state.scheduler, call.service, now);
    const bool isBackingOff = backoff.count() > 0;
    return { unavailableStatus, nameOf(outcome), isBackingOff ? backoff : retryAfterNotRun, isBackingOff };
}

void recordDemand(gateway_state& state, const proxied_call& call)
{
    if (call.facts.model)
        state.interval.demand.engineMs[call.service] += Scheduling::engineMs(state.scheduler, call.service, call.currentAttempt->placement.uncachedTokens, *call.facts.model);
}

} // namespace Gateway
