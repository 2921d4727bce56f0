#pragma once

/// @file
/// Who reads the load of which endpoint, and which endpoints a node routes to, when the fleet is too large for every
/// node to hear everything. Both follow from ids alone, so that nodes agree without a message.

#include "Common/Ids.h"

#include <chrono>
#include <optional>
#include <vector>

namespace Endpoints {

/// An entry node that shares the polling.
struct poller {
    Common::node_id id;
    Common::region_name region;
};

/// Endpoints that a node routes to at the most, about; a fleet up to this size is used whole.
constexpr size_t subsetSize = 200;

/// @param node the routing node.
/// @param endpoint an endpoint of its region.
/// @param endpointsInRegion how many there are.
/// @return whether the endpoint is in the node's subset of about subsetSize.
bool isInSubset(const Common::node_id& node, const Common::endpoint_id& endpoint, size_t endpointsInRegion);

/// @param pollers the alive entry nodes.
/// @param region restricts the choice when set and when the region has a node.
/// @param endpoint the endpoint to be polled.
/// @return the node that polls it; empty without any poller.
Common::node_id choosePoller(const std::vector<poller>& pollers, const std::optional<Common::region_name>& region, const Common::endpoint_id& endpoint);

/// Endpoints whose load is read in one interval without stretching it.
constexpr size_t pollsPerInterval = 8;
/// Instances on the cloud's list up to which it is read at its own interval.
constexpr size_t listPerInterval = 200;

/// Stretches an interval, so that a larger fleet costs a node no more bytes.
/// @param interval what is set.
/// @param count how many things are read at each interval.
/// @param perInterval how many may be read without stretching.
/// @return the interval to use.
std::chrono::milliseconds stretchInterval(std::chrono::milliseconds interval, size_t count, size_t perInterval);

} // namespace Endpoints
