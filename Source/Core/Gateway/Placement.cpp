#include "Gateway/Placement.h"

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

    /// During a rollout a randomly selected share of the requests goes to the new version, all others to the old ones.
    void restrictVersions(gateway_state& state, const proxied_call& call, Scheduling::placement_limits& limits)
    {
        constexpr uint32_t thousandths = 1000;
        const auto known = state.versionShares.find(call.service);
        if (known == state.versionShares.end())
            return;
        const bool isSelected = Common::uniformBelow(state.scheduler.random, thousandths) < known->second.thousandths;
        (isSelected ? limits.onlyVersion : limits.neverVersion) = known->second.newVersion;
    }

} // namespace

tl::expected<Scheduling::placement, Scheduling::refusal> choosePlacement(gateway_state& state, const proxied_call& call, Common::instant now)
{
    if (call.attemptCount > 0 && !Quarantine::maySendElsewhere(state.quarantine, call.fingerprints, call.progress.endpointsRun > 0, call.isTrial, now))
        return tl::unexpected(Scheduling::refusal { Scheduling::refusal_reason::Quarantined, Quarantine::firstTrialInterval });
    Scheduling::placement_limits limits;
    limits.avoided = call.triedEndpoints;
    restrictVersions(state, call, limits);
    auto placed = Scheduling::place(state.scheduler, workOf(call), limits, now);
    if (placed || !limits.onlyVersion)
        return placed;
    // No endpoint of the new version can serve the request, so it falls back to the others instead of being rejected.
    limits.neverVersion = limits.onlyVersion;
    limits.onlyVersion.reset();
    return Scheduling::place(state.scheduler, workOf(call), limits, now);
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
