#include "Rollout/Judgement.h"

#include <algorithm>
#include <cmath>

namespace Rollout {

namespace {

    constexpr uint64_t fewestBadEvents = 4;
    /// How improbable the bad events must be for a version that is as good as the one before. Small, because the
    /// counts are looked at after every bad event.
    constexpr double requiredImprobability = 2e-5;
    /// A worse rate than before by less than this is no reason to take a version back.
    constexpr double toleratedDifference = 0.01;
    /// Taken as the rate of the version before while nothing is known of it.
    constexpr double unknownRate = 0.1;
    constexpr double highestRate = 0.999;

    /// @return the probability of at least `bad` bad events among `all` when each has probability `rate`.
    double upperTail(uint64_t bad, uint64_t all, double rate)
    {
        constexpr double negligible = 1e-12;
        const auto count = static_cast<double>(all);
        double tail = 0;
        for (uint64_t events = bad; events <= all; ++events) {
            const auto number = static_cast<double>(events);
            const double logTerm = std::lgamma(count + 1) - std::lgamma(number + 1) - std::lgamma(count - number + 1)
                + number * std::log(rate) + (count - number) * std::log1p(-rate);
            const double term = std::exp(logTerm);
            tail += term;
            if (number > count * rate && term < negligible)
                break;
        }
        return tail;
    }

    bool isWorse(uint64_t freshBad, uint64_t freshAll, uint64_t previousBad, uint64_t previousAll)
    {
        if (freshBad < fewestBadEvents || freshAll == 0)
            return false;
        // One bad event is added, so that a spotless past is not taken as certainty.
        const double knownRate = previousAll == 0 ? unknownRate : static_cast<double>(previousBad + 1) / static_cast<double>(previousAll + 1);
        const double rate = std::min(knownRate + toleratedDifference, highestRate);
        return upperTail(freshBad, freshAll, rate) < requiredImprobability;
    }

} // namespace

evidence operator+(const evidence& left, const evidence& right)
{
    return { left.begun + right.begun, left.ended + right.ended, left.failed + right.failed, left.late + right.late };
}

verdict judge(const comparison& counts)
{
    if (isWorse(counts.fresh.failed, counts.fresh.ended, counts.previous.failed, counts.previous.ended))
        return verdict::Failing;
    if (isWorse(counts.fresh.late, counts.fresh.ended, counts.previous.late, counts.previous.ended))
        return verdict::Late;
    return verdict::NoFault;
}

std::string nameOf(verdict item)
{
    switch (item) {
    case verdict::NoFault:
        return "no_fault";
    case verdict::Failing:
        return "failing";
    case verdict::Late:
        return "late";
    }
    return "no_fault";
}

} // namespace Rollout
