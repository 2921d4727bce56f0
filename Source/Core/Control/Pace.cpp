#include "Control/Pace.h"

#include <algorithm>

namespace Control {

namespace {

    constexpr size_t nodesPerStretch = 20;
    /// A feed whose answer was lost shows only after its wait. Peers tell of newer catalogs and of endpoints that leave
    /// besides, so with many nodes each may wait longer.
    constexpr milliseconds catalogWait { 1500 };
    constexpr milliseconds endpointWait { 1700 };
    constexpr milliseconds longestFeedWait { 6000 };
    /// Endpoints and nodes often change several at a time.
    constexpr milliseconds endpointPause { 250 };
    constexpr milliseconds nodesPause { 1000 };
    /// With many nodes one of them reads of a change at once and tells the others. A node that they don't reach still has
    /// to leave an endpoint in time.
    constexpr int64_t endpointPausesInDrain = 2;
    /// Calls that the store refuses count as well. Bounds hold again some seconds after its return: that leaves time for
    /// a late try.
    constexpr milliseconds retryWait { 600 };
    constexpr milliseconds longestRetryWait { 2400 };
    /// A killed node's counts since its last write are lost.
    constexpr milliseconds countInterval { 1000 };

} // namespace

milliseconds stretched(milliseconds interval, size_t nodes)
{
    return interval * std::max<int64_t>(1, static_cast<int64_t>((nodes + nodesPerStretch - 1) / nodesPerStretch));
}

store_pace paceFor(size_t nodes, const Fleet::service_bounds& bounds)
{
    store_pace pace;
    pace.catalogWait = std::min(stretched(catalogWait, nodes), longestFeedWait);
    pace.endpointWait = std::min(stretched(endpointWait, nodes), longestFeedWait);
    pace.endpointPause = nodes <= nodesPerStretch ? endpointPause : bounds.drain / endpointPausesInDrain;
    pace.nodesPause = stretched(nodesPause, nodes);
    pace.longestRetry = std::min(stretched(retryWait, nodes), longestRetryWait);
    pace.countInterval = stretched(countInterval, nodes);
    return pace;
}

} // namespace Control
