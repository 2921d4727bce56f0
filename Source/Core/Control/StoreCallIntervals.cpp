#include "Control/StoreCallIntervals.h"

#include <algorithm>

namespace Control {

namespace {

    constexpr size_t nodesPerIntervalStep = 20;
    /// A relay notices after this time that the store's answer was lost, and meanwhile confirms nothing.
    constexpr milliseconds relayWait { 800 };
    /// Endpoints often change several at a time; this delay collects their changes into one answer.
    constexpr milliseconds relayPause { 400 };
    /// A node whose relay has failed without a sign still has to meet the bound, the time of its own query included.
    constexpr double maxAgeShareOfBound = 0.6;
    /// The list of nodes has no bound: the nodes also notice each other's failures themselves.
    constexpr read_intervals nodeIntervals { milliseconds(5000), milliseconds(500), milliseconds(8000) };
    constexpr milliseconds statusMaxAge { 2000 };
    /// Refused calls count towards the store's rate limit, so retries back off. All bounds must be met again some
    /// seconds after the store returns; the maximum delay leaves time for a last retry within them.
    constexpr milliseconds baseRetryDelay { 600 };
    constexpr milliseconds retryDelayLimit { 2400 };
    /// Usage counts not yet written are lost when the node is killed, so they are written at least this often.
    constexpr milliseconds countInterval { 1000 };
    constexpr size_t frequentLeaseWatchers = 2;
    constexpr milliseconds frequentLeaseWatchInterval { 1500 };
    constexpr milliseconds leaseWatchIntervalPerRank { 3000 };

    /// Grows in steps with the number of nodes.
    milliseconds scaledInterval(milliseconds interval, size_t nodes)
    {
        return interval * std::max<int64_t>(1, static_cast<int64_t>((nodes + nodesPerIntervalStep - 1) / nodesPerIntervalStep));
    }

    read_intervals readIntervalsFor(milliseconds bound)
    {
        return { relayWait, relayPause, std::chrono::duration_cast<milliseconds>(bound * maxAgeShareOfBound) };
    }

} // namespace

store_call_intervals callIntervalsFor(size_t nodes, const Fleet::service_bounds& bounds)
{
    store_call_intervals intervals;
    intervals.catalog = readIntervalsFor(bounds.configuration);
    intervals.endpoints = readIntervalsFor(bounds.drain);
    intervals.nodes = nodeIntervals;
    intervals.statuses = { relayWait, {}, statusMaxAge };
    intervals.maxRetryDelay = std::min(scaledInterval(baseRetryDelay, nodes), retryDelayLimit);
    intervals.countInterval = scaledInterval(countInterval, nodes);
    return intervals;
}

void applyIntervals(Store::table_watch& watch, const read_intervals& intervals, bool readsStore, Common::instant now)
{
    watch.settings.maxWait = readsStore ? intervals.maxWait : milliseconds(0);
    watch.settings.pause = intervals.pause;
    watch.settings.maxAge = readsStore ? milliseconds(0) : intervals.maxAge;
    if (readsStore && !watch.isFailing)
        watch.nextCall = std::min(watch.nextCall, now);
}

milliseconds leaseWatchInterval(size_t rank)
{
    return rank < frequentLeaseWatchers ? frequentLeaseWatchInterval : leaseWatchIntervalPerRank * static_cast<int64_t>(rank);
}

} // namespace Control
