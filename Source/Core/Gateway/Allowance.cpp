#include "Gateway/Allowance.h"

#include "Common/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Gateway {

void refundAllowance(gateway_state& state, proxied_call& call)
{
    if (call.allowanceTaken <= 0)
        return;
    call.allowanceRefunded = std::exchange(call.allowanceTaken, 0);
    Quota::refund(state.quota, call.account, call.allowanceRefunded);
}

void logLimitedAccounts(const gateway_state& state, Common::instant now)
{
    for (const Quota::limited_account& item : Quota::describeLimited(state.quota, now)) {
        nlohmann::json fields { { "account", item.account.value }, { "level", std::llround(item.level) }, { "granted", std::llround(item.granted) }, { "asked", std::llround(item.asked) } };
        fields["share"] = item.share;
        fields["peers_known"] = item.peersKnown;
        fields["peers_silent"] = item.peersSilent;
        fields["overdraft"] = std::llround(std::max(0.0, -item.level));
        Common::logEvent(Common::log_level::Info, "account_limited", std::move(fields));
    }
}

} // namespace Gateway
