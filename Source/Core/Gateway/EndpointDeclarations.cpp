#include "Gateway/EndpointDeclarations.h"

#include "Common/Log.h"
#include "Gateway/AttemptOutcome.h"
#include "Gateway/BrittleEndpoints.h"

#include <algorithm>

namespace Gateway {

namespace {

    constexpr int unavailableStatus = 503;
    /// An endpoint that states a longer time gets requests again after this one, so that a wrong value can't take it out
    /// of use for good.
    constexpr std::chrono::minutes maxBackoff { 10 };
    constexpr size_t maxLoggedTextBytes = 40;

    void logInvalidBackoff(const proxied_call& call, Common::duration used)
    {
        const attempt& current = *call.currentAttempt;
        Common::logEvent(Common::log_level::Warning, "retry_after_invalid", { { "endpoint", current.placement.endpoint.value }, { "request", call.facts.attemptId }, { "stated", current.response.backoff->text.substr(0, maxLoggedTextBytes) }, { "used_ms", toMs(used) } });
    }

    /// @return the stated time, limited to maxBackoff; zero if it is no positive number. Both are logged.
    Common::duration usableBackoff(const proxied_call& call)
    {
        const auto stated = call.currentAttempt->response.backoff->time;
        Common::duration usable { 0 };
        if (stated && stated->count() > 0)
            usable = std::chrono::duration_cast<Common::duration>(std::min<std::chrono::duration<double>>(*stated, maxBackoff));
        if (!stated || stated->count() <= 0 || *stated > maxBackoff)
            logInvalidBackoff(call, usable);
        return usable;
    }

    void applyBackoff(gateway_state& state, const proxied_call& call, Common::instant now)
    {
        const attempt& current = *call.currentAttempt;
        if (current.status != unavailableStatus || !current.response.backoff)
            return;
        const Common::duration time = usableBackoff(call);
        if (time.count() > 0)
            Scheduling::declareBackoff(state.scheduler.declarations, current.placement.endpoint, current.placement.started, now + time, now);
    }

    EndpointLimits::endpoint_start startOf(const attempt& current)
    {
        return { current.placement.endpoint, current.placement.started };
    }

    void logInvalidLimit(gateway_state& state, const proxied_call& call, Common::instant now)
    {
        const attempt& current = *call.currentAttempt;
        if (EndpointLimits::markInvalidLogged(state.endpointLimits.table, startOf(current), now))
            Common::logEvent(Common::log_level::Warning, "endpoint_limit_invalid", { { "endpoint", current.placement.endpoint.value }, { "request", call.facts.attemptId }, { "stated", current.response.limit->text.substr(0, maxLoggedTextBytes) } });
    }

    /// A response that ran nothing says less about the endpoint, so that a limit missing there doesn't end the known one.
    bool canWithdrawLimit(const attempt& current)
    {
        return current.response.hasProofOfOrigin && !current.response.hasNotRun;
    }

    void applyLimit(gateway_state& state, const proxied_call& call, Common::instant now)
    {
        const attempt& current = *call.currentAttempt;
        const std::optional<stated_limit>& stated = current.response.limit;
        if (!stated && !canWithdrawLimit(current))
            return;
        if (stated && (!stated->perSecond || *stated->perSecond > EndpointLimits::maxPerSecond))
            return logInvalidLimit(state, call, now);
        const double perSecond = stated ? std::max(*stated->perSecond, EndpointLimits::minPerSecond) : 0;
        const EndpointLimits::limit_change change = EndpointLimits::stateLimit(state.endpointLimits, startOf(current), perSecond, now);
        if (change != EndpointLimits::limit_change::None)
            Common::logEvent(Common::log_level::Info, "endpoint_limit", { { "endpoint", current.placement.endpoint.value }, { "change", EndpointLimits::nameOf(change) }, { "per_s", perSecond }, { "request", call.facts.attemptId } });
    }

} // namespace

bool applyDeclarations(gateway_state& state, const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    if (current.response.load)
        Scheduling::recordReportedLoad(state.scheduler, current.placement.endpoint, *current.response.load, now);
    // Another endpoint's words say nothing about this one: its address may have been given to that one.
    if (current.isForOtherRequest || isMisdirected(current.status))
        return false;
    applyBackoff(state, call, now);
    applyLimit(state, call, now);
    applyBrittleness(state, call, now);
    return current.response.isLeaving && Scheduling::declareLeaving(state.scheduler.declarations, current.placement.endpoint, current.placement.started, now);
}

} // namespace Gateway
