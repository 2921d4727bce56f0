#include "Rollout/BinomialTails.h"

#include <cmath>

namespace Rollout {

namespace {

    constexpr double negligibleTerm = 1e-12;

    double probabilityOf(uint64_t events, uint64_t total, double rate)
    {
        const auto count = static_cast<double>(total);
        const auto number = static_cast<double>(events);
        const double logTerm = std::lgamma(count + 1) - std::lgamma(number + 1) - std::lgamma(count - number + 1)
            + number * std::log(rate) + (count - number) * std::log1p(-rate);
        return std::exp(logTerm);
    }

} // namespace

double upperTail(uint64_t events, uint64_t total, double rate)
{
    double tail = 0;
    for (uint64_t number = events; number <= total; ++number) {
        const double term = probabilityOf(number, total, rate);
        tail += term;
        if (static_cast<double>(number) > static_cast<double>(total) * rate && term < negligibleTerm)
            break;
    }
    return tail;
}

double lowerTail(uint64_t events, uint64_t total, double rate)
{
    if (events >= total)
        return 1;
    return upperTail(total - events, total, 1 - rate);
}

} // namespace Rollout
