#pragma once

/// @file
/// Retries as a bounded share of first attempts, so that failing endpoints don't multiply the load.

#include "Common/Ids.h"

#include <map>

namespace Limits {

/// Tokens that retries of one account spend.
struct retry_budget {
    double tokens { 0 };
};

struct retry_budgets {
    std::map<Common::account_id, retry_budget> byAccount;
};

/// Each first attempt earns this share of a retry.
constexpr double earnedPerRequest = 0.2;
/// A quiet account may still retry this often.
constexpr double minimumTokens = 3;
constexpr double maximumTokens = 100;

/// Counts a first attempt.
void earnRetry(retry_budgets& budgets, const Common::account_id& account);

/// @return whether the account may retry now; spends one token when it may.
bool spendRetry(retry_budgets& budgets, const Common::account_id& account);

} // namespace Limits
