#include "Limits/Admission.h"

#include <algorithm>
#include <cmath>

namespace Limits {

namespace {

    constexpr int minRetrySeconds = 1;
    constexpr int maxRetrySeconds = 60;
    /// A request whose predicted time exceeds its target by more than this factor is rejected.
    constexpr double toleratedTargetFactor = 3.0;
    /// Accounts are limited to their fair share once this part of maxInFlight is in progress.
    constexpr double fairShareThreshold = 0.5;

    uint32_t inFlightOf(const admission_state& state, const Common::account_id& account)
    {
        const auto found = state.inFlightByAccount.find(account);
        return found == state.inFlightByAccount.end() ? 0 : found->second;
    }

    uint32_t shareOf(const Configuration::configuration& config, const Common::account_id& account)
    {
        const auto found = config.accounts.find(account);
        return found == config.accounts.end() ? 1 : found->second.share;
    }

    /// @return how many requests the account may have in progress. maxInFlight is divided among the accounts that have
    /// requests in progress, in proportion to their shares.
    double fairCapacity(const admission_state& state, const Configuration::configuration& config, const Common::account_id& account)
    {
        double total = shareOf(config, account);
        for (const auto& [other, inFlight] : state.inFlightByAccount) {
            if (inFlight > 0 && other != account)
                total += shareOf(config, other);
        }
        return state.settings.maxInFlight * (shareOf(config, account) / total);
    }

    int retryAfter(double seconds)
    {
        return std::clamp(static_cast<int>(std::ceil(seconds)), minRetrySeconds, maxRetrySeconds);
    }

} // namespace

std::optional<Common::failure> checkAdmission(const admission_state& state, const Configuration::configuration& config,
    const Common::account_id& account, const Configuration::class_of_work& work, const predicted_service& predicted)
{
    using Common::failure;
    using Common::failure_kind;
    using Common::run_state;
    if (!predicted.hasEndpoint)
        return failure { failure_kind::NoEndpoint, work.name.value, run_state::NotRun, minRetrySeconds };
    if (state.inFlight >= state.settings.maxInFlight)
        return failure { failure_kind::Overloaded, "node", run_state::NotRun, minRetrySeconds };
    const bool isBusy = state.inFlight >= state.settings.maxInFlight * fairShareThreshold;
    if (isBusy && inFlightOf(state, account) >= fairCapacity(state, config, account))
        return failure { failure_kind::AccountLimit, account.value, run_state::NotRun, minRetrySeconds };
    const auto target = work.kind == Configuration::class_kind::Model ? work.firstTokenTarget : work.answerTarget;
    const double limit = std::chrono::duration<double>(target).count() * toleratedTargetFactor;
    if (state.settings.rejectsLate && !predicted.meetsTarget && predicted.firstTokenSeconds > limit)
        return failure { failure_kind::Overloaded, work.name.value, run_state::NotRun, retryAfter(predicted.firstTokenSeconds - limit) };
    return std::nullopt;
}

void recordAdmitted(admission_state& state, const Common::account_id& account)
{
    state.inFlight += 1;
    state.inFlightByAccount[account] += 1;
}

void recordEnded(admission_state& state, const Common::account_id& account)
{
    state.inFlight -= 1;
    const auto found = state.inFlightByAccount.find(account);
    if (found == state.inFlightByAccount.end())
        return;
    found->second -= 1;
    if (found->second == 0)
        state.inFlightByAccount.erase(found);
}

} // namespace Limits
