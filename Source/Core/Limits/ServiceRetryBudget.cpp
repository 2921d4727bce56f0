#include "Limits/ServiceRetryBudget.h"

#include <algorithm>

namespace Limits {

namespace {

    /// Share of the limit that a node uses. The windows of different nodes do not start at the same time, so the nodes
    /// together could exceed the full limit.
    constexpr double usableShare = 0.8;

    void dropOlderThan(std::deque<Common::instant>& times, Common::instant oldest)
    {
        while (!times.empty() && times.front() < oldest)
            times.pop_front();
    }

} // namespace

void countRequest(service_retry_budgets& budgets, const Common::service_name& service, Common::instant now)
{
    service_traffic& counts = budgets.services[service];
    dropOlderThan(counts.requests, now - budgets.rules.window);
    counts.requests.push_back(now);
}

bool spendServiceRetry(service_retry_budgets& budgets, const Common::service_name& service, Common::instant now)
{
    service_traffic& counts = budgets.services[service];
    dropOlderThan(counts.requests, now - budgets.rules.window);
    dropOlderThan(counts.retries, now - budgets.rules.window);
    const double share = budgets.rules.ratio * static_cast<double>(counts.requests.size());
    const double slack = budgets.rules.slack / static_cast<double>(std::max<size_t>(1, budgets.nodes));
    if (static_cast<double>(counts.retries.size() + 1) > usableShare * (share + slack))
        return false;
    counts.retries.push_back(now);
    return true;
}

} // namespace Limits
