#pragma once

/// @file
/// Intervals of a node's calls to the platform's store. They keep the total rate low in a large fleet and a node's copies
/// of the tables fresh enough for the service bounds. Pure: no clock, no socket.

#include "Fleet/NodeFacts.h"
#include "Store/TableWatch.h"

#include <cstddef>

namespace Control {

using std::chrono::milliseconds;

/// How a node reads a table: a relay polls the store for changes, the other nodes query it only if their relay is silent.
struct read_intervals {
    milliseconds maxWait { 0 }; ///< Of a relay's query for changes.
    milliseconds pause { 0 }; ///< After changes, until the relay's next query.
    milliseconds maxAge { 0 }; ///< Of the last confirmation, before a node that is not a relay queries the store.
};

struct store_call_intervals {
    read_intervals catalog;
    read_intervals endpoints;
    read_intervals nodes;
    read_intervals statuses; ///< Of rollouts.
    milliseconds maxRetryDelay { 0 }; ///< Maximum retry delay of a query while the store doesn't answer.
    milliseconds countInterval { 0 }; ///< Between two writes of the usage counts of an open window.
};

/// @param nodes number of registered nodes, including this one.
/// @param bounds service bounds of the fleet.
/// @return the intervals for each node.
store_call_intervals callIntervalsFor(size_t nodes, const Fleet::service_bounds& bounds);

/// Sets how a node reads a table.
/// @param watch the node's copy, changed in place.
/// @param intervals of the table.
/// @param readsStore whether the node follows the store itself: it is a relay, or can't wait for one.
/// @param now current time.
void applyIntervals(Store::table_watch& watch, const read_intervals& intervals, bool readsStore, Common::instant now);

/// @param rank of a node among those that watch the lease, from 0.
/// @return the time between two of its reads of the lease. The first two take a lapsed lease over soon; the rarer reads of
/// the others cover the loss of these two together with the holder, and come at different times.
milliseconds leaseWatchInterval(size_t rank);

} // namespace Control
