#pragma once

/// @file
/// How often a node calls the platform's store. Every node makes these calls, so with more nodes each makes fewer. Pure.

#include "Fleet/NodeFacts.h"

#include <cstddef>

namespace Control {

using std::chrono::milliseconds;

struct store_pace {
    milliseconds catalogWait { 0 }; ///< Longest wait of the feed of the operator's table.
    milliseconds endpointWait { 0 }; ///< Longest wait of the feed of endpoints.
    milliseconds endpointPause { 0 }; ///< After changes of endpoints, so that several come in one answer.
    milliseconds nodesPause { 0 }; ///< The same for nodes.
    milliseconds longestRetry { 0 }; ///< Of a feed while the store doesn't answer.
    milliseconds countInterval { 0 }; ///< Between two writes of the counts of a window that is not over.
};

/// @param nodes in the store's list, this one included.
/// @param bounds the bounds that hold for the nodes.
/// @return the pace of each of them.
store_pace paceFor(size_t nodes, const Fleet::service_bounds& bounds);

/// @param interval of a single node.
/// @param nodes how many there are.
/// @return the interval of each of so many nodes.
milliseconds stretched(milliseconds interval, size_t nodes);

} // namespace Control
