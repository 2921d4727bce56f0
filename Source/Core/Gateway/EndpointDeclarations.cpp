#include "Gateway/EndpointDeclarations.h"

#include "Gateway/AttemptOutcome.h"

namespace Gateway {

bool applyDeclarations(gateway_state& state, const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    if (current.response.load)
        Scheduling::recordReportedLoad(state.scheduler, current.placement.endpoint, *current.response.load, now);
    // Another endpoint's words say nothing about this one: its address may have been given to that one.
    if (current.isForOtherRequest || isMisdirected(current.status))
        return false;
    return current.response.isLeaving && Scheduling::declareLeaving(state.scheduler.declarations, current.placement.endpoint, current.placement.started, now);
}

} // namespace Gateway
