#pragma once

/// @file
/// What a request takes from its account's allowance, and gives back. Reads no clock and no socket.

#include "Gateway/Admission.h"
#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

#include <optional>

namespace Gateway {

/// @return what the request takes from its account's allowance.
double allowanceCost(const proxied_call& call);

/// Charges a request that has just arrived.
/// @return the rejection; nothing when the request is charged, or when it waits (call.isAwaitingLease).
std::optional<request_rejection> chargeAllowance(gateway_state& state, proxied_call& call);

/// Charges a request that waits.
/// @param isLastTry if it isn't granted now it is rejected.
std::optional<request_rejection> chargeWaiting(gateway_state& state, proxied_call& call, bool isLastTry, Common::instant now);

/// Leaves the charge to the node that a request is relayed to.
void leaveChargeToRelay(gateway_state& state, proxied_call& call);

/// Charges a request that was to be relayed, and is sent to an endpoint by this node after all.
std::optional<request_rejection> chargeAfterRelay(gateway_state& state, proxied_call& call, Common::instant now);

/// Gives back what the request took from its account's allowance, unless an endpoint may have run it.
void refundAllowance(gateway_state& state, proxied_call& call);

/// Logs what this node believes of the accounts that are at their limits, once per report interval.
void logLimitedAccounts(const gateway_state& state, Common::instant now);

} // namespace Gateway
