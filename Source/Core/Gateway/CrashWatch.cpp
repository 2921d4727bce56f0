#include "Gateway/CrashWatch.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Gateway/AttemptOutcome.h"
#include "Gateway/CallLog.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Gateway {

namespace {

    /// A process that ends closes its connections and its listening socket one after the other.
    constexpr milliseconds checkDelay { 100 };
    constexpr milliseconds checkTimeout { 400 };

    /// A check that found the endpoint up isn't made again sooner.
    constexpr milliseconds recheckInterval { 300 };
    constexpr size_t maxRememberedChecks = 256;
    constexpr int serverFailureStatus = 500;
    /// With these statuses an endpoint may refuse a request that it hasn't run.
    constexpr std::array<int, 4> refusalStatuses { 408, 421, 425, 429 };

    /// @return whether a complete response with this status shows that the endpoint has run the request and is still up.
    bool showsSoundness(int status)
    {
        return status < serverFailureStatus && std::find(refusalStatuses.begin(), refusalStatuses.end(), status) == refusalStatuses.end();
    }

    Quarantine::endpoint_start startOf(const attempt& current)
    {
        return { current.placement.endpoint, current.started };
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

void crash_watch::setReceivers(receivers receivers)
{
    m_receivers = std::move(receivers);
}

void crash_watch::attemptEnded(const proxied_call& call, exchange_end end, attempt_end outcome, Common::instant now)
{
    if (outcome == attempt_end::Answered && showsSoundness(call.currentAttempt->status))
        attemptAnswered(call, now);
    if (outcome == attempt_end::Broken || outcome == attempt_end::Failed)
        addUnanswered(call, now);
    if (end == exchange_end::Broken)
        attemptBroken(call, now);
    flush();
}

void crash_watch::attemptGivenUp(const proxied_call& call, Common::instant now)
{
    addUnanswered(call, now);
}

void crash_watch::attemptAnswered(const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    Quarantine::recordAnswer(m_state.quarantine, call.fingerprints, now);
    if (current.headReceived)
        Quarantine::clearStillUp(m_state.crashEvidence, startOf(current), *current.headReceived);
}

void crash_watch::attemptBroken(const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    logBrokenAttempt(call, Scheduling::countPlaced(m_state.scheduler, current.placement.endpoint), now);
    check(startOf(current), current.placement.address, now);
}

void crash_watch::addUnanswered(const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    std::vector<Quarantine::fingerprint> unproven = Quarantine::unprovenAmong(m_state.quarantine, call.fingerprints, now);
    if (unproven.empty())
        return;
    const auto exposure = std::chrono::duration_cast<milliseconds>(now - current.begun);
    Quarantine::addUnanswered(m_state.crashEvidence, { startOf(current), call.service, std::move(unproven), now, exposure });
}

void crash_watch::check(const Quarantine::endpoint_start& start, const std::string& address, Common::instant now)
{
    if (m_checks.size() > maxRememberedChecks)
        std::erase_if(m_checks, [now](const auto& entry) { return !entry.second.isPending && entry.second.nextAt < now; });
    endpoint_check& known = m_checks[start];
    if (known.isPending)
        return;
    known.isPending = true;
    const auto delay = std::max(checkDelay, std::chrono::duration_cast<milliseconds>(known.nextAt - now));
    checkEndpoint(m_context, address, delay, checkTimeout, [this, start](endpoint_reachability result) { handleResult(start, result); });
}

void crash_watch::handleResult(const Quarantine::endpoint_start& start, endpoint_reachability result)
{
    Common::logEvent(Common::log_level::Info, "endpoint_checked", { { "endpoint", start.endpoint.value }, { "result", nameOf(result) } });
    const Common::instant now = std::chrono::steady_clock::now();
    m_checks[start] = { false, now + recheckInterval };
    // What accepts may be a process that was started since; only a listing tells it from the one before.
    if (result != endpoint_reachability::Refused)
        return;
    const std::vector<Quarantine::unanswered_request> requests = Quarantine::takeCrashed(m_state.crashEvidence, start);
    if (isLeaving(start))
        return;
    for (const Quarantine::unanswered_request& request : requests)
        Quarantine::recordCrash(m_state.quarantine, request, now);
    flush();
}

bool crash_watch::isLeaving(const Quarantine::endpoint_start& start) const
{
    const auto found = m_state.scheduler.endpoints.find(start.endpoint);
    if (found == m_state.scheduler.endpoints.end())
        return false;
    const Fleet::endpoint& facts = found->second.facts;
    return facts.started == start.started && facts.phase == Fleet::endpoint_phase::Leaving;
}

void crash_watch::flush()
{
    std::set<Quarantine::fingerprint> quarantined;
    for (const Quarantine::suspect_event& event : std::exchange(m_state.quarantine.events, {})) {
        logChange(event);
        if (event.change == Quarantine::suspect_change::Quarantined)
            quarantined.insert(event.subject);
    }
    if (!quarantined.empty() && m_receivers.quarantined)
        m_receivers.quarantined(quarantined);
    auto statements = std::exchange(m_state.quarantine.outgoing, {});
    if (!statements.empty() && m_receivers.sendStatements)
        m_receivers.sendStatements(std::move(statements));
    auto changes = std::exchange(m_state.quarantine.unstored, {});
    if (!changes.empty() && m_receivers.store)
        m_receivers.store(std::move(changes));
}

} // namespace Gateway
