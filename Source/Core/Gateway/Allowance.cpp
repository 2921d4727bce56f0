#include "Gateway/Allowance.h"

#include "Common/Log.h"

#include <cmath>
#include <utility>

namespace Gateway {

namespace {

    constexpr int overAllowanceStatus = 429;

    double costAt(const Catalog::account& account, const proxied_call& call)
    {
        if (!account.allowed.countsTokens)
            return 1;
        if (call.facts.model)
            return call.facts.model->promptTokens + call.facts.model->maxOutputTokens;
        return static_cast<double>(account.allowed.plainTokens);
    }

    std::optional<request_rejection> applyGrant(proxied_call& call, const Quota::grant& grant, double amount)
    {
        call.isAwaitingLease = grant.isPending;
        if (grant.isGranted)
            call.allowanceTaken = amount;
        if (grant.isGranted || grant.isPending)
            return {};
        call.refusedGrant = grant;
        return request_rejection { overAllowanceStatus, "over_allowance", grant.retryAfter };
    }

} // namespace

double allowanceCost(const proxied_call& call)
{
    return costAt(*Catalog::findAccount(*call.catalog, call.facts.key), call);
}

std::optional<request_rejection> chargeAllowance(gateway_state& state, proxied_call& call)
{
    if (call.account.value.empty())
        return {};
    const double amount = allowanceCost(call);
    return applyGrant(call, Quota::tryConsume(state.quota, call.account, amount, call.arrived), amount);
}

std::optional<request_rejection> chargeWaiting(gateway_state& state, proxied_call& call, bool isLastTry, Common::instant now)
{
    const double amount = allowanceCost(call);
    Quota::grant grant = Quota::retryWaiting(state.quota, call.account, amount, now);
    if (grant.isPending && isLastTry)
        grant = Quota::stopWaiting(state.quota, call.account, amount, now);
    return applyGrant(call, grant, amount);
}

void leaveChargeToRelay(gateway_state& state, proxied_call& call)
{
    call.isChargeLeftToRelay = true;
    refundAllowance(state, call);
}

std::optional<request_rejection> chargeAfterRelay(gateway_state& state, proxied_call& call, Common::instant now)
{
    // A node to which the request was sent has charged it, unless it refused it.
    if (!std::exchange(call.isChargeLeftToRelay, false) || call.progress.endpointsRun > 0 || call.account.value.empty())
        return {};
    const double amount = allowanceCost(call);
    Quota::grant grant = Quota::tryConsume(state.quota, call.account, amount, now);
    if (grant.isPending)
        grant = Quota::stopWaiting(state.quota, call.account, amount, now);
    return applyGrant(call, grant, amount);
}

void refundAllowance(gateway_state& state, proxied_call& call)
{
    if (call.allowanceTaken <= 0 || call.progress.endpointsRun > 0)
        return;
    call.allowanceRefunded = std::exchange(call.allowanceTaken, 0);
    Quota::refund(state.quota, call.account, call.allowanceRefunded);
}

void logLimitedAccounts(const gateway_state& state, Common::instant now)
{
    for (const Quota::limited_account& item : Quota::describeLimited(state.quota, now)) {
        nlohmann::json fields { { "account", item.account.value }, { "owner", item.owner.value }, { "level", std::llround(item.level) }, { "granted", std::llround(item.granted) }, { "asked", std::llround(item.asked) } };
        fields["in_hand"] = std::llround(item.inHand);
        fields["overdraft"] = std::llround(item.overdraft);
        fields["peers_known"] = item.peersKnown;
        fields["peers_silent"] = item.peersSilent;
        Common::logEvent(Common::log_level::Info, "account_limited", std::move(fields));
    }
}

} // namespace Gateway
