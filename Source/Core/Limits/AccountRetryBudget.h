#pragma once

/// @file
/// Limits the retries of each account to a share of its first attempts, so that failing endpoints don't multiply the
/// load.

#include "Common/Ids.h"

#include <map>

namespace Limits {

/// Token bucket of one account; a retry costs one token.
struct retry_budget {
    double tokens { 0 };
};

struct retry_budgets {
    std::map<Common::account_id, retry_budget> byAccount;
};

/// Tokens added for each first attempt.
constexpr double tokensPerRequest = 0.2;
/// Initial tokens of an account, so that one with few requests can retry too.
constexpr double initialTokens = 3;
constexpr double maximumTokens = 100;

/// Adds the tokens for a first attempt.
void earnRetry(retry_budgets& budgets, const Common::account_id& account);

/// @return whether the account may retry now; if so, one token is spent.
bool spendRetry(retry_budgets& budgets, const Common::account_id& account);

} // namespace Limits
