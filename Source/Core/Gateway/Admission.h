#pragma once

/// @file
/// Whether a request is taken: its route, its client account, its time and the account's allowance. Pure: no clock, no
/// socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

#include <optional>
#include <string_view>

namespace Gateway {

/// An answer of the system's own, which says that the request was not run.
struct own_answer {
    int status { 0 };
    std::string_view reason;
    std::optional<milliseconds> retryAfter;
};

/// @param state what the gateway knows; what the request takes from allowances is recorded.
/// @param item a request that has arrived; its route, account, service and deadline are set.
/// @return why it is turned away, or nothing when it is taken.
std::optional<own_answer> admit(gateway_state& state, call& item);

} // namespace Gateway
