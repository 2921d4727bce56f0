#pragma once

/// @file
/// Admission of a request: finds its route and client account, sets its deadline and charges the account's allowance.
/// Reads no clock and no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

#include <optional>
#include <string_view>

namespace Gateway {

/// Reasons that lie in the state of this node.
constexpr std::string_view notReadyReason = "not_ready";
constexpr std::string_view leavingReason = "leaving";

/// An error response of the gateway itself, sent when no endpoint ran the request.
struct request_rejection {
    int status { 0 };
    std::string_view reason;
    std::optional<milliseconds> retryAfter;
    bool isRetryTimeExact { false }; ///< An earlier retry would be rejected as well.
};

/// @param target path and query of a request.
/// @return its path.
std::string_view pathOf(std::string_view target);

/// @param state the request and its use of the account's allowance are recorded in it.
/// @param call a request that has just arrived; its route, account, service and deadline are set.
/// @return the rejection, or nothing when the request is admitted.
std::optional<request_rejection> admit(gateway_state& state, proxied_call& call);

} // namespace Gateway
