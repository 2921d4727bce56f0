#include "Gateway/Admission.h"

#include "Gateway/AttemptOutcome.h"

#include <algorithm>

namespace Gateway {

namespace {

    /// Waiting time of callers that state none on routes without a limit.
    constexpr milliseconds assumedTimeBudget { 30000 };
    /// Callers that were refused because this node does not know its catalog yet may come back after this.
    constexpr milliseconds retryWhenNotReady { 500 };
    constexpr milliseconds retryWhenLeaving { 100 };
    /// Answers in progress have to be complete by this share of the grace.
    constexpr double finishShareOfGrace = 0.85;
    /// A request is taken only when it is expected to take less than this part of the time left.
    constexpr double expectedShareOfTimeLeft = 0.4;
    /// Assumed of requests of which nothing is known, and of each output token of a stream.
    constexpr milliseconds assumedPlainTime { 150 };
    constexpr milliseconds assumedFirstEventTime { 600 };
    constexpr double assumedMsPerOutputToken = 20;

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    /// Finds the client account of a request's key.
    /// @return whether the request may go on.
    bool authorize(call& item)
    {
        item.urgency = item.route->priority;
        if (item.catalog->accounts.empty() || item.route->isPublic)
            return true;
        const Catalog::account* account = Catalog::findAccount(*item.catalog, item.facts.key);
        if (!account)
            return false;
        item.account = account->id;
        item.urgency = account->priority.value_or(item.route->priority);
        return true;
    }

    bool canFinishBeforeLeaving(const gateway_state& state, const call& item)
    {
        const Common::instant end = *state.leavingSince + std::chrono::duration_cast<milliseconds>(state.grace * finishShareOfGrace);
        double expected = toMs(assumedPlainTime);
        if (item.facts.model)
            expected = toMs(assumedFirstEventTime) + item.facts.model->expectedOutputTokens.value_or(item.facts.model->mostOutputTokens) * assumedMsPerOutputToken;
        return expected < toMs(end - item.arrived) * expectedShareOfTimeLeft;
    }

    void setTimes(call& item)
    {
        milliseconds budget = item.facts.timeBudget.value_or(assumedTimeBudget);
        if (item.route->timeout.count() > 0)
            budget = std::min(budget, item.route->timeout);
        item.deadline = item.arrived + budget;
        item.progress.mayRepeat = Catalog::mayRepeat(*item.route);
        item.progress.isResumable = item.route->isResumable;
        item.progress.maxEndpoints = item.route->maxEndpoints;
    }

    double allowanceOf(const Catalog::account& account, const call& item)
    {
        if (!account.allowed.countsTokens)
            return 1;
        if (item.facts.model)
            return item.facts.model->promptTokens + item.facts.model->mostOutputTokens;
        return static_cast<double>(account.allowed.plainTokens);
    }

    std::optional<own_answer> takeAllowance(gateway_state& state, call& item)
    {
        if (item.account.value.empty())
            return {};
        const double amount = allowanceOf(*Catalog::findAccount(*item.catalog, item.facts.key), item);
        const Quota::grant grant = Quota::take(state.quota, item.account, amount, item.arrived);
        if (!grant.isGranted) {
            item.overAllowance = grant;
            return own_answer { 429, "over_allowance", grant.retryAfter };
        }
        item.granted = amount;
        return {};
    }

} // namespace

std::optional<own_answer> admit(gateway_state& state, call& item)
{
    item.catalog = state.catalog;
    if (!item.catalog)
        return own_answer { 503, "not_ready", retryWhenNotReady };
    item.route = Catalog::findRoute(*item.catalog, Http::findHeader(item.request.headers, "host"), pathOf(item.request.target));
    if (!item.route)
        return own_answer { 404, "unknown_route", {} };
    if (!authorize(item))
        return own_answer { 401, "unknown_key", {} };
    if (state.leavingSince && !canFinishBeforeLeaving(state, item))
        return own_answer { 503, "leaving", retryWhenLeaving };
    setTimes(item);
    item.service = Catalog::chooseService(*item.route, Common::uniformUnit(state.scheduler.random));
    Limits::countRequest(state.repeats, item.service, item.arrived);
    return takeAllowance(state, item);
}

} // namespace Gateway
