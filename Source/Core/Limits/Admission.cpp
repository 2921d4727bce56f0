#include "Limits/Admission.h"

#include <algorithm>
#include <cmath>

namespace Limits {

namespace {

    constexpr int shortestRetrySeconds = 1;
    constexpr int longestRetrySeconds = 60;
    /// A request predicted to miss its target by more than this factor is refused.
    constexpr double toleratedTargetFactor = 3.0;
    /// Above this load an account is held to its share.
    constexpr double fairShareThreshold = 0.5;

    uint32_t heldBy(const admission_state& state, const Common::account_id& account)
    {
        const auto found = state.inFlightByAccount.find(account);
        return found == state.inFlightByAccount.end() ? 0 : found->second;
    }

    uint32_t shareOf(const Configuration::configuration& config, const Common::account_id& account)
    {
        const auto found = config.accounts.find(account);
        return found == config.accounts.end() ? 1 : found->second.share;
    }

    /// The account's part of the node's capacity among the accounts that hold requests now.
    double fairPart(const admission_state& state, const Configuration::configuration& config, const Common::account_id& account)
    {
        double total = shareOf(config, account);
        for (const auto& [other, held] : state.inFlightByAccount) {
            if (held > 0 && other != account)
                total += shareOf(config, other);
        }
        return state.settings.maxInFlight * (shareOf(config, account) / total);
    }

    int retryAfter(double seconds)
    {
        return std::clamp(static_cast<int>(std::ceil(seconds)), shortestRetrySeconds, longestRetrySeconds);
    }

} // namespace

std::optional<Common::failure> refuse(const admission_state& state, const Configuration::configuration& config,
    const Common::account_id& account, const Configuration::class_of_work& work, const predicted_service& predicted)
{
    using Common::failure;
    using Common::failure_kind;
    using Common::run_state;
    if (!predicted.hasEndpoint)
        return failure { failure_kind::NoEndpoint, work.name.value, run_state::NotRun, shortestRetrySeconds };
    if (state.inFlight >= state.settings.maxInFlight)
        return failure { failure_kind::Overloaded, "node", run_state::NotRun, shortestRetrySeconds };
    const bool isBusy = state.inFlight >= state.settings.maxInFlight * fairShareThreshold;
    if (isBusy && heldBy(state, account) >= fairPart(state, config, account))
        return failure { failure_kind::AccountLimit, account.value, run_state::NotRun, shortestRetrySeconds };
    const auto target = work.kind == Configuration::class_kind::Model ? work.firstTokenTarget : work.answerTarget;
    const double limit = std::chrono::duration<double>(target).count() * toleratedTargetFactor;
    if (state.settings.refusesLate && !predicted.meetsTarget && predicted.firstTokenSeconds > limit)
        return failure { failure_kind::Overloaded, work.name.value, run_state::NotRun, retryAfter(predicted.firstTokenSeconds - limit) };
    return std::nullopt;
}

void noteAdmitted(admission_state& state, const Common::account_id& account)
{
    state.inFlight += 1;
    state.inFlightByAccount[account] += 1;
}

void noteReleased(admission_state& state, const Common::account_id& account)
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
