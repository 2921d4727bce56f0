#include "Rollout/LatencyComparison.h"

#include <algorithm>
#include <cmath>

namespace Rollout {

namespace {

    /// Lower limit of the second bin; the first one counts all shorter latencies.
    constexpr double firstLimit = 0.125;
    constexpr double binsPerDoubling = 2;

} // namespace

size_t latencyBinOf(double latency)
{
    if (latency < firstLimit)
        return 0;
    const auto bin = static_cast<size_t>(std::log2(latency / firstLimit) * binsPerDoubling) + 1;
    return std::min(bin, latencyBins - 1);
}

latency_histogram operator+(const latency_histogram& left, const latency_histogram& right)
{
    latency_histogram sum {};
    for (size_t bin = 0; bin < latencyBins; ++bin)
        sum[bin] = left[bin] + right[bin];
    return sum;
}

latency_counts operator+(const latency_counts& left, const latency_counts& right)
{
    return { left.answered + right.answered, left.unanswered + right.unanswered, left.waiting + right.waiting };
}

} // namespace Rollout
