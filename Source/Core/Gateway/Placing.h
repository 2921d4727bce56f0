#pragma once

/// @file
/// The endpoint of a request's next attempt. Pure: no clock, no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

namespace Gateway {

/// @param state what the gateway knows; the placement is recorded in it.
/// @param item a request that was taken.
/// @param now the present time.
/// @return where its next attempt goes, or why it can't be served.
tl::expected<Scheduling::placement, Scheduling::refusal> choose(gateway_state& state, const call& item, Common::instant now);

/// Counts a placed request among the demand for its service.
/// @param state its interval report is added to.
/// @param item a request with an attempt under way.
void noteDemand(gateway_state& state, const call& item);

} // namespace Gateway
