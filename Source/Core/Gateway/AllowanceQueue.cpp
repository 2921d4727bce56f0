#include "Gateway/AllowanceQueue.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

    /// A request is refused this long before its deadline, so that the caller learns why.
    constexpr milliseconds answerMargin { 20 };

    Common::instant clockNow()
    {
        return std::chrono::steady_clock::now();
    }

} // namespace

allowance_queue::allowance_queue(boost::asio::io_context& context, gateway_state& state)
    : m_state(state)
    , m_timer(context)
    , m_returnTimer(context)
{
}

void allowance_queue::start(allowance_queue_events events)
{
    m_events = std::move(events);
    scheduleReturn();
}

void allowance_queue::add(const proxied_call& call)
{
    const Common::instant until = std::min(call.arrived + Quota::maxLeaseWait, call.deadline - answerMargin);
    m_entries.push_back({ call.session.get(), call.id, call.account, allowanceCost(call), until });
    scheduleNext();
}

void allowance_queue::serve()
{
    const Common::instant now = clockNow();
    std::vector<entry> waiting;
    for (const entry& item : std::exchange(m_entries, {})) {
        if (serveEntry(item, now))
            waiting.push_back(item);
    }
    waiting.insert(waiting.end(), m_entries.begin(), m_entries.end());
    m_entries = std::move(waiting);
    flush();
    scheduleNext();
}

/// @return whether the request goes on waiting.
bool allowance_queue::serveEntry(const entry& item, Common::instant now)
{
    proxied_call* call = m_events.find(item.session, item.id);
    if (!call) {
        Quota::stopWaiting(m_state.quota, item.account, item.amount, now);
        return false;
    }
    const std::optional<request_rejection> rejection = chargeWaiting(m_state, *call, now >= item.until, now);
    if (rejection)
        m_events.rejected(*call, *rejection);
    else if (!call->isAwaitingLease)
        m_events.granted(*call);
    else
        return true;
    return false;
}

void allowance_queue::flush()
{
    auto messages = std::exchange(m_state.quota.outgoing, {});
    if (!messages.empty() && m_events.send)
        m_events.send(std::move(messages));
}

void allowance_queue::scheduleReturn()
{
    m_returnTimer.expires_after(Quota::returnInterval);
    m_returnTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        Quota::returnExpired(m_state.quota, clockNow());
        flush();
        scheduleReturn();
    });
}

void allowance_queue::scheduleNext()
{
    if (m_entries.empty() || m_isScheduled)
        return;
    m_isScheduled = true;
    m_timer.expires_after(Quota::leaseWaitInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        m_isScheduled = false;
        if (!error)
            serve();
    });
}

} // namespace Gateway
