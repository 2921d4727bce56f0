#pragma once

/// @file
/// The limits that endpoints state: how many requests per second one takes from all nodes together. Reads no clock and no
/// socket.

#include "Fleet/EndpointRegistry.h"

#include <map>

namespace EndpointLimits {

/// One run of an endpoint.
struct endpoint_start {
    Common::endpoint_id endpoint;
    Fleet::start_time started;

    friend auto operator<=>(const endpoint_start&, const endpoint_start&) = default;
};

/// What the newest response says that this node knows of.
struct limit_record {
    Fleet::start_time started;
    double perSecond { 0 }; ///< Requests per second; zero: not limited.
    Common::instant statedAt; ///< When that response arrived, here or at another node.
    bool isInvalidLogged { false }; ///< An invalid limit of this start has been logged.
};

/// Endpoints of which a limit has been known.
using limit_table = std::map<Common::endpoint_id, limit_record>;

/// With more endpoints than this, the record that is oldest is dropped.
constexpr size_t maxLimitRecords = 4096;
/// A smaller limit counts as this one: with none at all nobody would learn when it ends.
constexpr double minPerSecond = 0.05;
/// A higher limit limits nothing.
constexpr double maxPerSecond = 1'000'000;

enum class limit_change {
    None,
    Stated,
    Changed,
    Withdrawn,
};

/// @return the name used in logs.
const char* nameOf(limit_change change);

/// Records what a response says. An older statement than the known one, or one of an earlier start, changes nothing.
/// @param table changed in place.
/// @param start the endpoint.
/// @param perSecond the limit, at most maxPerSecond; zero if the response states none.
/// @param statedAt when the response arrived.
/// @return what has changed.
limit_change recordLimit(limit_table& table, const endpoint_start& start, double perSecond, Common::instant statedAt);

/// Remembers that an invalid limit is logged.
/// @return whether it is the first of this start.
bool markInvalidLogged(limit_table& table, const endpoint_start& start, Common::instant now);

/// @return the limit of this start of an endpoint; null if it has none.
const limit_record* findLimit(const limit_table& table, const endpoint_start& start);

} // namespace EndpointLimits
