#include "Rollout/LatencyComparison.h"

#include "Rollout/BinomialTails.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Rollout {

namespace {

    /// Lower limit of the second bin; the first one counts all shorter latencies.
    constexpr double firstLimit = 0.125;
    constexpr double binsPerDoubling = 2;
    /// A version that is slower by no more than this counts as equal: it may serve from emptier caches, or under another
    /// load.
    constexpr double toleratedFactor = 1.4;
    /// The previous version's latencies must be known this well before they are compared with.
    constexpr uint64_t minPreviousAnswered = 20;
    constexpr uint64_t minSlowAttempts = 4;
    /// The slowdown that the test for slower versions is most sensitive to.
    constexpr slowdown detectedSlowdown { 0.5, 4 };
    /// Probabilities are kept away from 0 and 1, at which their logarithms are not finite.
    constexpr double minRate = 0.01;
    constexpr double maxRate = 0.99;

    uint64_t countFrom(const latency_histogram& counts, size_t threshold)
    {
        return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(threshold), counts.end(), uint64_t { 0 });
    }

    /// Attempts of which a threshold is known to be passed, known not to be passed, or neither.
    struct exceedance {
        uint64_t slow { 0 };
        uint64_t quick { 0 };
        uint64_t undecided { 0 }; ///< Still waiting, for less than the threshold.
    };

    exceedance countExceedance(const latency_counts& counts, size_t threshold)
    {
        exceedance result;
        const uint64_t answeredSlowly = countFrom(counts.answered, threshold);
        const uint64_t waitingLong = countFrom(counts.waiting, threshold);
        result.slow = answeredSlowly + countFrom(counts.unanswered, threshold) + waitingLong;
        result.quick = countFrom(counts.answered, 0) - answeredSlowly;
        result.undecided = countFrom(counts.waiting, 0) - waitingLong;
        return result;
    }

    /// @return the share of attempts at the threshold or above, if all took longer by a factor.
    double slowShare(const latency_counts& previous, size_t threshold, double factor)
    {
        const auto shift = static_cast<size_t>(std::lround(std::log2(factor) * binsPerDoubling));
        const exceedance counts = countExceedance(previous, threshold > shift ? threshold - shift : 0);
        const uint64_t decided = counts.slow + counts.quick;
        // One slow attempt is added, so that a version without any does not get the share zero.
        return static_cast<double>(counts.slow + 1) / static_cast<double>(decided + 1);
    }

    double slowShare(const latency_counts& previous, size_t threshold, const slowdown& changed)
    {
        return (1 - changed.share) * slowShare(previous, threshold, 1) + changed.share * slowShare(previous, threshold, changed.factor);
    }

    /// @return the threshold at which a version with the slowdown differs most from the one before it. It depends on the
    /// latter only, so that the chance in the new version's latencies has no influence on it. Zero if none differs.
    size_t chooseThreshold(const latency_counts& previous, const slowdown& changed)
    {
        size_t best = 0;
        double bestDistance = 0;
        for (size_t threshold = 1; threshold < latencyBins; ++threshold) {
            const double before = std::clamp(slowShare(previous, threshold, 1), minRate, maxRate);
            const double after = std::clamp(slowShare(previous, threshold, changed), minRate, maxRate);
            const double distance = (after - before) / (std::sqrt(before * (1 - before)) + std::sqrt(after * (1 - after)));
            if (distance <= bestDistance)
                continue;
            best = threshold;
            bestDistance = distance;
        }
        return best;
    }

    bool isKnown(const latency_counts& previous)
    {
        return countFrom(previous.answered, 0) >= minPreviousAnswered;
    }

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

latency_counts since(const latency_counts& later, const latency_counts& earlier)
{
    latency_counts difference = later;
    for (size_t bin = 0; bin < latencyBins; ++bin) {
        // A peer that has restarted counts from zero again.
        difference.answered[bin] -= std::min(later.answered[bin], earlier.answered[bin]);
        difference.unanswered[bin] -= std::min(later.unanswered[bin], earlier.unanswered[bin]);
    }
    return difference;
}

bool isSlower(const latency_counts& candidate, const latency_counts& previous, double significanceLevel)
{
    if (!isKnown(previous))
        return false;
    const size_t threshold = chooseThreshold(previous, detectedSlowdown);
    if (threshold == 0)
        return false;
    const exceedance counts = countExceedance(candidate, threshold);
    if (counts.slow < minSlowAttempts)
        return false;
    const double tolerated = std::clamp(slowShare(previous, threshold, toleratedFactor), minRate, maxRate);
    return upperTail(counts.slow, counts.slow + counts.quick, tolerated) < significanceLevel;
}

bool rulesOut(const latency_counts& candidate, const latency_counts& previous, const slowdown& excluded, double significanceLevel)
{
    if (!isKnown(previous))
        return false;
    const size_t threshold = chooseThreshold(previous, excluded);
    if (threshold == 0)
        return false;
    const exceedance counts = countExceedance(candidate, threshold);
    const uint64_t slow = counts.slow + counts.undecided;
    const double rate = std::clamp(slowShare(previous, threshold, excluded), minRate, maxRate);
    return lowerTail(slow, slow + counts.quick, rate) < significanceLevel;
}

} // namespace Rollout
