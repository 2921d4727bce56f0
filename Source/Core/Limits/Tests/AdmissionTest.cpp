/// @file
/// Admission of requests, and retry budgets of accounts.

#include "Limits/Admission.h"
#include "Limits/AccountRetryBudget.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Limits;

Configuration::configuration makeConfiguration()
{
    Configuration::configuration config;
    for (const char* name : { "large", "small" }) {
        Configuration::client_account account;
        account.id = { name };
        config.accounts[account.id] = account;
    }
    return config;
}

} // namespace

TEST_GROUP(Admission) {};

TEST(Admission, RejectedRequestsAreNotRunAndHaveARetryTime)
{
    struct row {
        predicted_service predicted;
        uint32_t inFlight;
        bool isRefused;
        Common::failure_kind kind;
    };
    using Common::failure_kind;
    const row rows[] = {
        { { true, true, 0.1 }, 0, false, {} },
        { { true, false, 2.0 }, 0, false, {} },
        { { true, false, 9.0 }, 0, true, failure_kind::Overloaded },
        { { false, false, 0.0 }, 0, true, failure_kind::NoEndpoint },
        { { true, true, 0.1 }, 100, true, failure_kind::Overloaded },
    };
    const auto config = makeConfiguration();
    for (const row& item : rows) {
        admission_state state;
        state.settings.maxInFlight = 100;
        state.inFlight = item.inFlight;
        const auto refusal = checkAdmission(state, config, { "large" }, {}, item.predicted);
        CHECK_EQUAL(item.isRefused, refusal.has_value());
        if (!refusal)
            continue;
        CHECK(item.kind == refusal->kind);
        CHECK(refusal->retryAfterSeconds > 0);
        CHECK(refusal->run == Common::run_state::NotRun);
    }
}

TEST(Admission, ALargeAccountDoesNotStarveASmallOne)
{
    const auto config = makeConfiguration();
    admission_state state;
    state.settings.maxInFlight = 100;
    recordAdmitted(state, { "small" });
    const predicted_service prediction { true, true, 0.1 };
    int admitted = 0;
    for (int round = 0; round < 1000; ++round) {
        if (checkAdmission(state, config, { "large" }, {}, prediction))
            continue;
        recordAdmitted(state, { "large" });
        ++admitted;
    }
    LONGS_EQUAL(50, admitted);
    CHECK(!checkAdmission(state, config, { "small" }, {}, prediction));
}

TEST(Admission, RetriesAreABoundedShareOfFirstAttempts)
{
    retry_budgets budgets;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        earnRetry(budgets, { "a" });
        retries += spendRetry(budgets, { "a" }) ? 1 : 0;
        retries += spendRetry(budgets, { "a" }) ? 1 : 0;
    }
    CHECK(retries <= 1000 * tokensPerRequest + initialTokens);
    CHECK(spendRetry(budgets, { "b" }));
}
