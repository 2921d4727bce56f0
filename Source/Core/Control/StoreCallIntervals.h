#pragma once

/// @file
/// Intervals of a node's calls to the platform's store. Every node makes these calls, so the intervals grow with the
/// number of nodes to limit the total rate. Pure: no clock, no socket.

#include "Fleet/NodeFacts.h"

#include <cstddef>

namespace Control {

using std::chrono::milliseconds;

struct store_call_intervals {
    milliseconds catalogWait { 0 }; ///< Maximum long-poll wait for changes of the operator's table.
    milliseconds endpointWait { 0 }; ///< Maximum long-poll wait for changes of the endpoint table.
    milliseconds endpointBatchDelay { 0 }; ///< Delay after a change until the next poll, to batch changes.
    milliseconds nodeBatchDelay { 0 }; ///< The same for the node table.
    milliseconds maxRetryDelay { 0 }; ///< Maximum retry delay of a poll while the store doesn't answer.
    milliseconds countInterval { 0 }; ///< Between two writes of the usage counts of an open window.
};

/// @param nodes number of registered nodes, including this one.
/// @param bounds service bounds of the fleet.
/// @return the intervals for each node.
store_call_intervals callIntervalsFor(size_t nodes, const Fleet::service_bounds& bounds);

/// @param interval interval for a small fleet.
/// @param nodes number of nodes.
/// @return the interval for each node, which grows in steps with the number of nodes.
milliseconds scaledInterval(milliseconds interval, size_t nodes);

} // namespace Control
