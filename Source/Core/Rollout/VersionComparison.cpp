#include "Rollout/VersionComparison.h"

#include "Rollout/BinomialTails.h"

#include <algorithm>
#include <array>

namespace Rollout {

namespace {

    /// With fewer failed or late attempts a version is not reported as worse.
    constexpr uint64_t minBadEvents = 4;
    /// Significance level of the test: the bad events must be less probable than this for a version as good as the one
    /// before. Small, because the test is repeated after every bad event.
    constexpr double significanceLevel = 2e-5;
    /// Increase in the rate of bad events that does not count as worse.
    constexpr double toleratedDifference = 0.01;
    /// Rate of bad events assumed for the previous version while it has no ended attempts.
    constexpr double assumedPreviousRate = 0.1;
    /// Upper bound of the tested rate: log1p(-rate) is not finite at 1.
    constexpr double maxRate = 0.999;

    /// Significance level of the test for slower versions, which is repeated at each evaluation.
    constexpr double slowerLevel = 1e-4;
    /// Slowdowns that are ruled out before a version takes over, and the probability that one of them is missed.
    constexpr std::array<slowdown, 2> excludedSlowdowns { { { 0.5, 4 }, { 1, 2 } } };
    constexpr double missedSlowdownLevel = 0.01;

    bool isWorse(uint64_t candidateBad, uint64_t candidateTotal, uint64_t previousBad, uint64_t previousTotal)
    {
        if (candidateBad < minBadEvents || candidateTotal == 0)
            return false;
        // One bad event is added, so that a previous version without any does not get the rate zero.
        const double previousRate = previousTotal == 0 ? assumedPreviousRate : static_cast<double>(previousBad + 1) / static_cast<double>(previousTotal + 1);
        const double rate = std::min(previousRate + toleratedDifference, maxRate);
        return upperTail(candidateBad, candidateTotal, rate) < significanceLevel;
    }

} // namespace

attempt_counts operator+(const attempt_counts& left, const attempt_counts& right)
{
    return { left.begun + right.begun, left.ended + right.ended, left.failed + right.failed, left.late + right.late, left.latencies + right.latencies };
}

verdict evaluate(const comparison& counts)
{
    if (isWorse(counts.candidate.failed, counts.candidate.ended, counts.previous.failed, counts.previous.ended))
        return verdict::Failing;
    if (isWorse(counts.candidate.late, counts.candidate.ended, counts.previous.late, counts.previous.ended))
        return verdict::Late;
    return verdict::NoFault;
}

verdict evaluateLatencies(const latency_counts& candidate, const latency_counts& previous)
{
    return isSlower(candidate, previous, slowerLevel) ? verdict::Slower : verdict::NoFault;
}

bool isShownToBeAsQuick(const latency_counts& candidate, const latency_counts& previous)
{
    return std::all_of(excludedSlowdowns.begin(), excludedSlowdowns.end(), [&](const slowdown& excluded) {
        return rulesOut(candidate, previous, excluded, missedSlowdownLevel);
    });
}

std::string nameOf(verdict value)
{
    switch (value) {
    case verdict::NoFault:
        return "no_fault";
    case verdict::Failing:
        return "failing";
    case verdict::Late:
        return "late";
    case verdict::Slower:
        return "slower";
    }
    return "no_fault";
}

} // namespace Rollout
