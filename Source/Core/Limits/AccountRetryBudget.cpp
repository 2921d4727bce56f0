#include "Limits/AccountRetryBudget.h"

#include <algorithm>

namespace Limits {

namespace {

    retry_budget& budgetOf(retry_budgets& budgets, const Common::account_id& account)
    {
        return budgets.byAccount.try_emplace(account, retry_budget { initialTokens }).first->second;
    }

} // namespace

void earnRetry(retry_budgets& budgets, const Common::account_id& account)
{
    retry_budget& budget = budgetOf(budgets, account);
    budget.tokens = std::min(budget.tokens + tokensPerRequest, maximumTokens);
}

bool spendRetry(retry_budgets& budgets, const Common::account_id& account)
{
    retry_budget& budget = budgetOf(budgets, account);
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

} // namespace Limits
