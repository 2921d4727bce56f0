#pragma once

/// @file
/// Which node polls the load of an endpoint, and which endpoints a node routes to, when the fleet is too large for every
/// node to know all of it. Both are computed from ids alone, so that nodes agree without exchanging messages.

#include "Common/Ids.h"

#include <chrono>
#include <optional>
#include <vector>

namespace Endpoints {

/// An entry node that takes part in the polling.
struct poller {
    Common::node_id id;
    Common::region_name region;
};

/// Approximate number of endpoints that a node routes to in a large fleet. In a fleet up to this size every node routes
/// to all of them.
constexpr size_t subsetSize = 200;

/// @param node the routing node.
/// @param endpoint an endpoint of its region.
/// @param endpointsInRegion number of endpoints in that region.
/// @return whether the endpoint is in the node's subset, which has about subsetSize endpoints.
bool isInSubset(const Common::node_id& node, const Common::endpoint_id& endpoint, size_t endpointsInRegion);

/// @param pollers the alive entry nodes.
/// @param region when set, only its nodes are considered, unless it has none.
/// @param endpoint the endpoint to be polled.
/// @return the node that polls it; empty when there are no pollers.
Common::node_id choosePoller(const std::vector<poller>& pollers, const std::optional<Common::region_name>& region, const Common::endpoint_id& endpoint);

/// Number of endpoints that one node polls per interval; above it the interval grows.
constexpr size_t pollsPerInterval = 8;
/// Number of instances on the cloud's list above which the interval between its readings grows.
constexpr size_t instancesPerInterval = 200;

/// Lengthens a polling interval in proportion to the number of items read, so that a node's polling traffic doesn't grow
/// with the fleet.
/// @param interval the configured interval.
/// @param count number of items read in each interval.
/// @param perInterval number of items up to which the configured interval is kept.
/// @return the interval to use.
std::chrono::milliseconds stretchInterval(std::chrono::milliseconds interval, size_t count, size_t perInterval);

} // namespace Endpoints
