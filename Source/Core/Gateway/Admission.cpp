#include "Gateway/Admission.h"

#include "Gateway/Allowance.h"

#include "Gateway/AttemptOutcome.h"

#include <algorithm>

namespace Gateway {

namespace {

    /// Used when neither the caller states a time budget nor the route has a timeout.
    constexpr milliseconds defaultTimeBudget { 30000 };
    /// Retry-After of rejections before this node has received its first catalog, and while it is leaving.
    constexpr milliseconds retryAfterNotReady { 500 };
    constexpr milliseconds retryAfterLeaving { 100 };
    /// Callers may use an answer of the directory for this many times its life.
    constexpr int maxAddressLives = 3;
    /// A leaving node must have completed its responses within this share of the grace period.
    constexpr double finishShareOfGrace = 0.85;
    /// A leaving node admits a request only if its expected duration is below this share of the time left.
    constexpr double maxExpectedShareOfTimeLeft = 0.4;

    /// Finds the client account that the request's key belongs to.
    /// @return whether the key is valid or the route needs none.
    bool authorize(proxied_call& call)
    {
        call.urgency = call.route->priority;
        if (!call.catalog->requiresKeys || call.route->isPublic)
            return true;
        const Catalog::account* account = Catalog::findAccount(*call.catalog, call.facts.key);
        if (!account)
            return false;
        call.account = account->id;
        call.urgency = account->priority.value_or(call.route->priority);
        return true;
    }

    /// @return whether callers have other nodes' addresses by now. A stream that has begun can't be answered otherwise when the
    /// node's time is over.
    bool mustUseOtherNode(const gateway_state& state, const proxied_call& call)
    {
        const bool isStream = call.route->kind == Catalog::route_kind::Stream;
        return isStream && !state.relayPeers.empty() && call.arrived - *state.leavingSince > maxAddressLives * state.addressLife;
    }

    bool canFinishBeforeLeaving(const gateway_state& state, const proxied_call& call)
    {
        if (state.leavingPhase != leaving_phase::Accepting || mustUseOtherNode(state, call))
            return false;
        const Common::instant end = *state.leavingSince + std::chrono::duration_cast<milliseconds>(state.grace * finishShareOfGrace);
        const double predicted = Scheduling::predictFirstEventMs(state.scheduler, { call.service, call.facts.model, call.arrived, call.deadline }, call.arrived);
        const double expected = expectFinishMs(state.finishTimes, call.route->name, call.facts.model, predicted);
        return expected < toMs(end - call.arrived) * maxExpectedShareOfTimeLeft;
    }

    void setDeadlineAndRetryLimits(proxied_call& call)
    {
        milliseconds budget = call.facts.timeBudget.value_or(defaultTimeBudget);
        if (call.route->timeout.count() > 0)
            budget = std::min(budget, call.route->timeout);
        call.deadline = call.arrived + budget;
        call.progress.mayRetry = Catalog::mayRetry(*call.route);
        call.progress.isResumable = call.route->isResumable;
        if (call.route->isResumable)
            call.position.lastId = call.facts.lastEventId;
        call.progress.maxEndpoints = std::min(call.route->maxEndpoints, call.facts.relayedEndpoints.value_or(call.route->maxEndpoints));
    }

} // namespace

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<request_rejection> admit(gateway_state& state, proxied_call& call)
{
    call.catalog = state.catalog;
    if (!call.catalog)
        return request_rejection { 503, notReadyReason, retryAfterNotReady };
    call.route = Catalog::findRoute(*call.catalog, Http::findHeader(call.request.headers, "host"), pathOf(call.request.target));
    if (!call.route)
        return request_rejection { 404, "unknown_route", {} };
    if (!authorize(call))
        return request_rejection { 401, "unknown_key", {} };
    setDeadlineAndRetryLimits(call);
    call.service = Catalog::chooseService(*call.route, Common::uniformUnit(state.scheduler.random));
    if (state.leavingSince && !canFinishBeforeLeaving(state, call))
        return request_rejection { 503, leavingReason, retryAfterLeaving };
    call.fingerprints = Quarantine::fingerprintsOf({ call.service, call.account, call.request.method, call.request.target, call.request.body }, call.facts.model ? &*call.facts.model : nullptr);
    const Quarantine::quarantine_verdict verdict = Quarantine::judgeRequest(state.quarantine, call.fingerprints, call.arrived);
    if (verdict.refusedFor)
        return request_rejection { 503, "request_quarantined", verdict.refusedFor };
    call.isTrial = verdict.isTrial;
    // The node that relays a request has counted it.
    if (!call.facts.relayedEndpoints)
        Limits::countRequest(state.serviceRetries, call.service, call.arrived);
    return chargeAllowance(state, call);
}

} // namespace Gateway
