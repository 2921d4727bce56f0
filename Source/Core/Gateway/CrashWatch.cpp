#include "Gateway/CrashWatch.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Gateway/AttemptOutcome.h"
#include "Gateway/CallLog.h"

#include <utility>

namespace Gateway {

namespace {

    /// A process that ends closes its connections and its listening socket one after the other.
    constexpr milliseconds checkDelay { 100 };
    constexpr milliseconds checkTimeout { 400 };

    /// @return whether the response broke off shortly after it began.
    bool brokeAtItsBeginning(const attempt& current, Common::instant now)
    {
        return current.headReceived && isSuccess(current.status) && now - *current.headReceived <= Quarantine::maxResponseAge;
    }

    void logChange(const Quarantine::suspect_event& event)
    {
        Common::logEvent(Common::log_level::Info, "fingerprint_changed", { { "fingerprint", Common::toHex(event.subject.value) }, { "change", Quarantine::nameOf(event.change) }, { "crashes", event.crashes } });
    }

} // namespace

crash_watch::crash_watch(boost::asio::io_context& context, gateway_state& state)
    : m_context(context)
    , m_state(state)
{
}

void crash_watch::setSender(statement_sender sender)
{
    m_send = std::move(sender);
}

void crash_watch::attemptEnded(const proxied_call& call, exchange_end end, attempt_end outcome, Common::instant now)
{
    if (outcome == attempt_end::Answered && isSuccess(call.currentAttempt->status))
        attemptAnswered(call, now);
    if (end == exchange_end::Broken)
        attemptBroken(call, now);
    flush();
}

void crash_watch::attemptAnswered(const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    Quarantine::recordAnswer(m_state.quarantine, call.fingerprints, now);
    if (current.headReceived)
        Quarantine::clearStillUp(m_state.crashEvidence, { current.placement.endpoint, current.started }, *current.headReceived);
}

void crash_watch::attemptBroken(const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    logBrokenAttempt(call, Scheduling::countPlaced(m_state.scheduler, current.placement.endpoint), now);
    const Quarantine::endpoint_start start { current.placement.endpoint, current.started };
    checkOnce(start, current.placement.address, now);
    if (!brokeAtItsBeginning(current, now))
        return;
    std::vector<Quarantine::fingerprint> unproven = Quarantine::unprovenAmong(m_state.quarantine, call.fingerprints, now);
    if (!unproven.empty())
        Quarantine::addBrokenResponse(m_state.crashEvidence, { start, std::move(unproven), now });
}

void crash_watch::checkOnce(const Quarantine::endpoint_start& start, const std::string& address, Common::instant now)
{
    if (!m_checks.try_emplace(start, now + checkDelay).second)
        return;
    checkEndpoint(m_context, address, checkDelay, checkTimeout, [this, start](endpoint_reachability result) { handleResult(start, result); });
}

void crash_watch::handleResult(const Quarantine::endpoint_start& start, endpoint_reachability result)
{
    Common::logEvent(Common::log_level::Info, "endpoint_checked", { { "endpoint", start.endpoint.value }, { "result", nameOf(result) } });
    const Common::instant connectedAt = m_checks.at(start);
    m_checks.erase(start);
    if (result == endpoint_reachability::Accepting)
        Quarantine::clearStillUp(m_state.crashEvidence, start, connectedAt);
    if (result != endpoint_reachability::Refused)
        return;
    const Common::instant now = std::chrono::steady_clock::now();
    for (const Quarantine::broken_response& response : Quarantine::takeCrashed(m_state.crashEvidence, start))
        Quarantine::recordCrash(m_state.quarantine, response, now);
    flush();
}

void crash_watch::flush()
{
    for (const Quarantine::suspect_event& event : std::exchange(m_state.quarantine.events, {}))
        logChange(event);
    for (Quarantine::outgoing_statement& statement : std::exchange(m_state.quarantine.outgoing, {})) {
        if (m_send)
            m_send(std::move(statement));
    }
}

} // namespace Gateway
