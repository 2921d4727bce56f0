#pragma once

/// @file
/// Applies what the head of an endpoint's response says about the endpoint itself. Reads no clock and no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

namespace Gateway {

/// @param state its scheduler is updated.
/// @param call a request whose current attempt has received the head of a response.
/// @param now current time.
/// @return whether the response was the first that said that the endpoint is leaving.
bool applyDeclarations(gateway_state& state, const proxied_call& call, Common::instant now);

} // namespace Gateway
