#pragma once

/// @file
/// What the end of an exchange with an endpoint means: for the request, for the endpoint and for its version. Pure.

#include "Gateway/Call.h"
#include "Gateway/GatewayDuty.h"

namespace Gateway {

/// @return a span in milliseconds.
double toMs(Common::duration time);

/// @return whether a status tells of success.
bool isSuccess(int status);

/// @param item a request with an attempt under way.
/// @param end how the attempt's exchange ended.
/// @return what that means for the request.
attempt_end classify(const call& item, exchange_end end);

/// @return what the end of an attempt says of its endpoint.
Scheduling::placement_end placementEndOf(attempt_end outcome);

/// @param item a request with an attempt that has ended.
/// @param outcome how.
/// @param now the present time.
/// @return what that says of the endpoint's version.
attempt_seen::event seenEventOf(const call& item, attempt_end outcome, Common::instant now);

} // namespace Gateway
