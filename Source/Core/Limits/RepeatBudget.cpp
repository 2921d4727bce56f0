#include "Limits/RepeatBudget.h"

#include <algorithm>

namespace Limits {

namespace {

    /// Part of the bound that is used, as windows of different nodes do not start together.
    constexpr double usedPart = 0.8;

    void dropOld(std::deque<Common::instant>& times, Common::instant oldest)
    {
        while (!times.empty() && times.front() < oldest)
            times.pop_front();
    }

} // namespace

void countRequest(repeat_budgets& budgets, const Common::service_name& service, Common::instant now)
{
    service_repeats& counts = budgets.services[service];
    dropOld(counts.requests, now - budgets.rules.window);
    counts.requests.push_back(now);
}

bool takeRepeat(repeat_budgets& budgets, const Common::service_name& service, Common::instant now)
{
    service_repeats& counts = budgets.services[service];
    dropOld(counts.requests, now - budgets.rules.window);
    dropOld(counts.repeats, now - budgets.rules.window);
    const double share = budgets.rules.ratio * static_cast<double>(counts.requests.size());
    const double slack = budgets.rules.slack / static_cast<double>(std::max<size_t>(1, budgets.nodes));
    if (static_cast<double>(counts.repeats.size() + 1) > usedPart * (share + slack))
        return false;
    counts.repeats.push_back(now);
    return true;
}

} // namespace Limits
