#pragma once

/// @file
/// Relays of requests through other nodes, by a node that reaches no endpoint itself or uses none of those that there are. A relayed request is admitted, placed and
/// charged by the other node as if its caller had sent it there; it is never relayed again. Reads no clock and no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

#include <optional>

namespace Gateway {

/// @param state the other nodes.
/// @param call a request that may not have been relayed before.
/// @param among the nodes to choose from; empty: all.
/// @param now current time.
/// @return the nearest node that may relay the request; std::nullopt if there is none.
std::optional<relay_peer> chooseRelay(gateway_state& state, const proxied_call& call, const std::set<Common::node_id>& among, Common::instant now);

/// Records how a relay ended, so that a node that can't relay is left out for a while.
/// @param state changed in place.
/// @param call a request whose current attempt was a relay.
/// @param outcome of the attempt.
/// @param now current time.
void recordRelayEnd(gateway_state& state, const proxied_call& call, attempt_end outcome, Common::instant now);

/// @param call a request whose current attempt is a relay that has got a complete response.
/// @return the attempt's outcome. What the other node answers itself is forwarded as it is.
attempt_end classifyRelayed(const proxied_call& call);

} // namespace Gateway
