#pragma once

/// @file
/// Limits of endpoints that are cold: for some seconds after its start, or after it has lost its caches, an endpoint goes
/// down under a rate of requests that it takes later. Every node learns from the same listing which endpoints are cold, so
/// unlike limits that endpoints state in responses these need not be passed on. Reads no clock and no socket.

#include "EndpointLimits/LimitTable.h"

#include <chrono>
#include <map>

namespace EndpointLimits {

using std::chrono::milliseconds;

/// The most that a cold endpoint may get from all nodes together in any one second.
struct cold_bound {
    double perSecond { 0 }; ///< Requests per second that it takes; zero: not limited.
    double overshoot { 0 }; ///< Factor on them; zero: not limited.
    double slack { 0 }; ///< Requests besides.
};

/// The time in which one start of an endpoint is cold.
struct warm_up {
    milliseconds statedLeft { 0 }; ///< As listed last.
    double perSecond { 0 }; ///< Tokens per second, over all nodes.
    Common::instant end;
};

using warm_up_map = std::map<endpoint_start, warm_up>;

/// @param bound of the endpoint.
/// @return tokens per second with which the bound holds whenever they are used; zero if the bound limits nothing.
double coldTokenRate(const cold_bound& bound);

/// Records what a listing says of an endpoint. A value that was listed before is no news: it doesn't count down there.
/// @param warmUps changed in place.
/// @param start the endpoint.
/// @param left how long it stays cold.
/// @param perSecond tokens per second; zero: not limited.
/// @param now current time.
void recordWarmUp(warm_up_map& warmUps, const endpoint_start& start, milliseconds left, double perSecond, Common::instant now);

/// Counts an endpoint as cold that nothing was sent to for a while; it may have lost its caches unseen.
/// @param warmUps changed in place.
/// @param start the endpoint.
/// @param time how long it counts as cold.
/// @param perSecond tokens per second; zero: not limited.
/// @param now current time.
void assumeCold(warm_up_map& warmUps, const endpoint_start& start, milliseconds time, double perSecond, Common::instant now);

/// @return tokens per second of an endpoint that is cold; zero if it isn't.
double findColdRate(const warm_up_map& warmUps, const endpoint_start& start, Common::instant now);

} // namespace EndpointLimits
