#include "Control/StoreCallIntervals.h"

#include <algorithm>

namespace Control {

namespace {

    constexpr size_t nodesPerIntervalStep = 20;
    /// A lost answer to a long poll is noticed only after the wait has passed. Peers also announce newer catalogs and
    /// leaving endpoints, so larger fleets can use longer waits.
    constexpr milliseconds catalogWait { 1500 };
    constexpr milliseconds endpointWait { 1700 };
    constexpr milliseconds maxFeedWait { 6000 };
    /// Endpoints and nodes often change several at a time; these delays collect their changes into one answer.
    constexpr milliseconds endpointBatchDelay { 250 };
    constexpr milliseconds nodeBatchDelay { 1000 };
    /// In a large fleet one node reads a change early and informs its peers, so the delay can be longer. A node that
    /// misses the message must still stop using a leaving endpoint within the drain time.
    constexpr int64_t batchDelaysPerDrain = 2;
    /// Refused calls count towards the store's rate limit, so retries back off. All bounds must be met again some
    /// seconds after the store returns; the maximum delay leaves time for a last retry within them.
    constexpr milliseconds baseRetryDelay { 600 };
    constexpr milliseconds retryDelayLimit { 2400 };
    /// Usage counts not yet written are lost when the node is killed, so they are written at least this often.
    constexpr milliseconds countInterval { 1000 };

} // namespace

milliseconds scaledInterval(milliseconds interval, size_t nodes)
{
    return interval * std::max<int64_t>(1, static_cast<int64_t>((nodes + nodesPerIntervalStep - 1) / nodesPerIntervalStep));
}

store_call_intervals callIntervalsFor(size_t nodes, const Fleet::service_bounds& bounds)
{
    store_call_intervals intervals;
    intervals.catalogWait = std::min(scaledInterval(catalogWait, nodes), maxFeedWait);
    intervals.endpointWait = std::min(scaledInterval(endpointWait, nodes), maxFeedWait);
    intervals.endpointBatchDelay = nodes <= nodesPerIntervalStep ? endpointBatchDelay : bounds.drain / batchDelaysPerDrain;
    intervals.nodeBatchDelay = scaledInterval(nodeBatchDelay, nodes);
    intervals.maxRetryDelay = std::min(scaledInterval(baseRetryDelay, nodes), retryDelayLimit);
    intervals.countInterval = scaledInterval(countInterval, nodes);
    return intervals;
}

} // namespace Control
