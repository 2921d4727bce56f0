#pragma once

/// @file
/// Chooses the endpoint of a request's next attempt. Reads no clock and no socket.

#include "Gateway/Admission.h"
#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

namespace Gateway {

/// @param state the placement is recorded in its scheduler.
/// @param call an admitted request.
/// @param now current time.
/// @return the endpoint of the next attempt, or why no endpoint can serve the request.
tl::expected<Scheduling::placement, Scheduling::refusal> choosePlacement(gateway_state& state, const proxied_call& call, Common::instant now);

/// @param state the endpoints' limits.
/// @param call a request that couldn't be placed.
/// @param refusal why.
/// @param now current time.
/// @return whether it is worth waiting until another node answers which limited endpoints take the request.
bool mayWaitForToken(const gateway_state& state, const proxied_call& call, const Scheduling::refusal& refusal, Common::instant now);

/// @param refusal why no endpoint can serve a request.
/// @return the response to its caller.
request_rejection rejectUnplaced(const Scheduling::refusal& refusal);

/// @param state the endpoints.
/// @param call a request that none of the tried endpoints ran.
/// @param outcome of its last attempt.
/// @param now current time.
/// @return the response to its caller.
request_rejection rejectNotRun(const gateway_state& state, const proxied_call& call, attempt_end outcome, Common::instant now);

/// Adds the engine time that a model request needs to the reported demand for its service.
/// @param state its interval report is updated.
/// @param call a request with a current attempt.
void recordDemand(gateway_state& state, const proxied_call& call);

} // namespace Gateway
