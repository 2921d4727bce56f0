#pragma once

/// @file
/// What a request takes from its account's allowance, and gives back. Reads no clock and no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

namespace Gateway {

/// Gives back what the request took from its account's allowance, if it took anything.
void refundAllowance(gateway_state& state, proxied_call& call);

/// Logs what this node believes of the accounts that are at their limits, once per report interval.
void logLimitedAccounts(const gateway_state& state, Common::instant now);

} // namespace Gateway
