#include "Gateway/CrashWatch.h"

#include "Common/Log.h"
#include "Gateway/CallLog.h"

namespace Gateway {

namespace {

    /// A process that ends closes its connections and its listening socket one after the other.
    constexpr std::chrono::milliseconds checkDelay { 100 };
    constexpr std::chrono::milliseconds checkTimeout { 400 };

} // namespace

crash_watch::crash_watch(boost::asio::io_context& context)
    : m_context(context)
{
}

void crash_watch::attemptBroken(const proxied_call& call, size_t othersInFlight, Common::instant now)
{
    logBrokenAttempt(call, othersInFlight, now);
    const Scheduling::placement& placement = call.currentAttempt->placement;
    if (!m_checked.insert(placement.endpoint).second)
        return;
    checkEndpoint(m_context, placement.address, checkDelay, checkTimeout, [this, endpoint = placement.endpoint](endpoint_reachability result) { handleResult(endpoint, result); });
}

void crash_watch::handleResult(const Common::endpoint_id& endpoint, endpoint_reachability result)
{
    m_checked.erase(endpoint);
    Common::logEvent(Common::log_level::Info, "endpoint_checked", { { "endpoint", endpoint.value }, { "result", nameOf(result) } });
}

} // namespace Gateway
