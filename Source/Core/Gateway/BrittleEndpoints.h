#pragma once

/// @file
/// Spares endpoints that say that they go down when they have to turn away too many requests in a second. No more nodes use
/// such an endpoint than it bears rejections, and each of them takes an equal part: few of its requests wait there at a time,
/// and after a rejection it sends nothing for a while. Reads no clock and no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

namespace Gateway {

/// Records whether a response says that its endpoint is brittle.
/// @param state changed in place.
/// @param call a request whose current attempt has received the head of a response by that endpoint.
/// @param now current time.
void applyBrittleness(gateway_state& state, const proxied_call& call, Common::instant now);

/// Sends a brittle endpoint nothing for a while after it has turned away a request.
/// @param state changed in place.
/// @param call a request whose current attempt has ended.
/// @param outcome of the attempt.
/// @param now current time.
void spareAfterRejection(gateway_state& state, const proxied_call& call, attempt_end outcome, Common::instant now);

/// @return the brittle endpoints of a service that this node doesn't use, or where as many of its requests wait as its part
/// allows.
std::set<Common::endpoint_id> findFullBrittle(const gateway_state& state, const Common::service_name& service);

/// @param endpoints that take no request of this node now.
/// @return the nodes that use those which this node doesn't use.
std::set<Common::node_id> findUsers(const gateway_state& state, const std::vector<Common::endpoint_id>& endpoints);

/// @return whether one of the endpoints is brittle.
bool hasFullBrittle(const gateway_state& state, const std::vector<Common::endpoint_id>& endpoints);

/// @return whether the endpoint of the current attempt has said that it is brittle: it may go down without a request's fault.
bool isAtBrittleEndpoint(const gateway_state& state, const proxied_call& call);

} // namespace Gateway
