/// @file
/// Limits on the retries of a service, over a sliding window and over all nodes.

#include "Limits/ServiceRetryBudget.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Limits;
using std::chrono::milliseconds;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

} // namespace

TEST_GROUP(RepeatBudget) {};

TEST(RepeatBudget, RetriesOfAllNodesStayWithinTheLimit)
{
    struct row {
        size_t nodes;
        int requestsPerNode;
        double slack;
    };
    const row rows[] = { { 1, 100, 52 }, { 6, 20, 52 }, { 82, 5, 204 }, { 6, 0, 52 } };
    for (const row& item : rows) {
        int retries = 0;
        for (size_t node = 0; node < item.nodes; ++node) {
            service_retry_budgets budgets;
            budgets.rules = { 0.2, item.slack, milliseconds(10000) };
            budgets.nodes = item.nodes;
            for (int request = 0; request < item.requestsPerNode; ++request)
                countRequest(budgets, { "s" }, at(request));
            while (spendServiceRetry(budgets, { "s" }, at(500)))
                ++retries;
        }
        const double bound = 0.2 * item.requestsPerNode * static_cast<double>(item.nodes) + item.slack;
        CHECK(retries <= bound);
    }
}

TEST(RepeatBudget, RetriesOlderThanTheWindowAreNotCounted)
{
    service_retry_budgets budgets;
    budgets.rules = { 0, 5, milliseconds(10000) };
    while (spendServiceRetry(budgets, { "s" }, at(0))) { }
    CHECK(!spendServiceRetry(budgets, { "s" }, at(9999)));
    CHECK(spendServiceRetry(budgets, { "s" }, at(10001)));
    CHECK(spendServiceRetry(budgets, { "other" }, at(0)));
}
