#include "Faults/PromiseChecker.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace Faults {

namespace {

    // Limits from the platform's specification or from settingsLines in SoakWorld.cpp.

    /// After an unplanned fault, the nodes have reconnected and caught up within this time.
    constexpr milliseconds settlingTime { 5000 };
    constexpr milliseconds catalogBound { 4000 };
    constexpr milliseconds drainBound { 4000 };
    /// A request sent this soon after an answer that showed a newer catalog may still be checked against the older one.
    constexpr milliseconds regressionSlack { 250 };
    /// A request that was sent while the node was closing the connection breaks within this time.
    constexpr milliseconds lossSlack { 200 };
    /// A request may be on its way to an endpoint for this long after the endpoint has refused another one.
    constexpr milliseconds backoffSlack { 500 };
    constexpr int maxArrivalsInBackoff = 2;
    /// Refusals that an endpoint sends this soon after a disturbance of its link may be lost.
    constexpr milliseconds linkSettlingTime { 200 };
    constexpr milliseconds allowanceWindow { 8000 };
    constexpr double allowanceOvershoot = 0.1;
    constexpr double allowanceSlack = 10;
    constexpr milliseconds retryWindow { 10000 };
    constexpr double retryRatio = 0.2;
    constexpr double retrySlack = 30;
    constexpr int timeBudgetSlackMs = 500;
    constexpr size_t maxBreaches = 50;

    constexpr int unauthorized = 401;

    bool guaranteesNoRun(int status)
    {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }

    bool isSuccess(int status)
    {
        return status >= 200 && status < 300;
    }

    /// @return the first id that was used at the endpoint's address: an id is followed by the number of its replacement.
    std::string firstIdOf(const std::string& endpoint)
    {
        return endpoint.substr(0, endpoint.find('.'));
    }

    uint64_t versionOfKey(const std::string& key)
    {
        const size_t dash = key.find('-');
        return dash == std::string::npos ? 0 : std::stoull(key.substr(dash + 1));
    }

    std::string expectedAnswer(const work_request& request)
    {
        if (!isStream(request.kind))
            return answerBody(request.id);
        std::string events;
        for (uint32_t number = 1; number <= eventCount(request.id); ++number)
            events += eventBytes(request.id, number);
        return events;
    }

} // namespace

promise_checker::promise_checker(checker_settings settings)
    : m_settings(settings)
{
}

void promise_checker::add(const std::string& rule, const std::string& description)
{
    if (m_breaches.size() < maxBreaches)
        m_breaches.push_back({ rule, description });
}

void promise_checker::recordBreach(const std::string& rule, const std::string& description)
{
    const std::lock_guard guard(m_mutex);
    add(rule, description);
}

void promise_checker::recordCatalogSent(uint64_t version)
{
    const std::lock_guard guard(m_mutex);
    m_newestSentVersion = version;
}

void promise_checker::recordCatalogAcknowledged(uint64_t version, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_acknowledgedAt[version] = at;
}

void promise_checker::recordEndpointDraining(const std::string& endpoint, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_drainingSince[endpoint] = at;
}

void promise_checker::recordEndpointRestored(const std::string& endpoint)
{
    const std::lock_guard guard(m_mutex);
    m_drainingSince.erase(endpoint);
}

void promise_checker::recordNodeStart(int node, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_nodes[node] = { at, 0, at, at };
}

void promise_checker::recordNodeResumed(int node, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_nodes[node].uninterruptedSince = at;
}

void promise_checker::recordEndpointLinkDisturbed(const std::string& endpoint, moment until)
{
    const std::lock_guard guard(m_mutex);
    m_linkDisturbedUntil[firstIdOf(endpoint)] = until;
    std::erase_if(m_backoffs, [&](const auto& entry) { return firstIdOf(entry.first.second) == firstIdOf(endpoint); });
}

bool promise_checker::isLinkSoundAt(const std::string& endpoint, moment time) const
{
    const auto found = m_linkDisturbedUntil.find(firstIdOf(endpoint));
    return found == m_linkDisturbedUntil.end() || found->second < time - linkSettlingTime;
}

void promise_checker::recordDisturbance(moment at)
{
    const std::lock_guard guard(m_mutex);
    m_lastDisturbance = at;
}

/// @return whether the last unplanned fault ended at least settlingTime before the given time.
bool promise_checker::isSettledAt(moment time) const
{
    return !m_lastDisturbance || *m_lastDisturbance + settlingTime < time;
}

void promise_checker::recordRequestSent(const work_request& request, int node, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_requests[request.id] = { request, node, at, 0, 0, false, {} };
    m_sentAt.push_back(at);
}

void promise_checker::recordArrival(const std::string& id, moment at)
{
    const std::lock_guard guard(m_mutex);
    request_record& record = m_requests[id];
    if (++record.arrivals > 1)
        m_retriedAt.push_back(at);
}

void promise_checker::recordRequestReceived(const std::string& id, const std::string& endpoint, moment at)
{
    const std::lock_guard guard(m_mutex);
    const request_record& record = m_requests[id];
    checkLeaving(record, endpoint);
    checkBackoff(record, endpoint, at);
}

void promise_checker::recordLeavingStated(const std::string& id, const std::string& endpoint)
{
    const std::lock_guard guard(m_mutex);
    m_requests[id].leavingEndpoint = endpoint;
}

/// A request that was sent before the node's last interruption may have been answered before it.
void promise_checker::recordLeavingPassedOn(const request_record& record, moment at)
{
    if (record.leavingEndpoint.empty() || record.sentAt <= m_nodes[record.node].uninterruptedSince)
        return;
    moment& passedOnAt = m_leavingPassedOnAt.try_emplace({ record.node, record.leavingEndpoint }, at).first->second;
    if (passedOnAt <= m_nodes[record.node].uninterruptedSince)
        passedOnAt = at;
}

void promise_checker::checkLeaving(const request_record& record, const std::string& endpoint)
{
    const auto passedOn = m_leavingPassedOnAt.find({ record.node, endpoint });
    if (passedOn == m_leavingPassedOnAt.end() || passedOn->second <= m_nodes[record.node].uninterruptedSince)
        return;
    if (record.sentAt > passedOn->second + drainBound)
        add("DRAIN", fmt::format("{} reached {} from node {}, which had passed on that it leaves {} ms before the request was sent", record.request.id, endpoint, record.node, std::chrono::duration_cast<milliseconds>(record.sentAt - passedOn->second).count()));
}

void promise_checker::recordBackoffStated(const observed_backoff& backoff)
{
    const std::lock_guard guard(m_mutex);
    ++m_outcomes["refusals with Retry-After"];
    if (isLinkSoundAt(backoff.endpoint, backoff.sendBegan))
        m_backoffs[{ m_requests[backoff.id].node, backoff.endpoint }].push_back({ backoff.sendEnded + backoffSlack, backoff.sendBegan + backoff.time });
}

void promise_checker::checkBackoff(const request_record& record, const std::string& endpoint, moment at)
{
    const auto found = m_backoffs.find({ record.node, endpoint });
    if (found == m_backoffs.end())
        return;
    const moment uninterruptedSince = m_nodes[record.node].uninterruptedSince;
    std::erase_if(found->second, [&](const backoff_window& window) { return window.until < at || window.from - backoffSlack <= uninterruptedSince; });
    for (backoff_window& window : found->second) {
        if (at > window.from && ++window.arrivals == maxArrivalsInBackoff + 1)
            add("BUDGET", fmt::format("{} is the third request from node {} that reached {} in the time in which it wanted none", record.request.id, record.node, endpoint));
    }
}

void promise_checker::recordRun(const observed_run& run)
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_requests.find(run.id);
    if (found == m_requests.end() || found->second.request.id.empty())
        return add("UNASKED", run.id + " was run but never sent by a caller");
    request_record& record = found->second;
    ++record.runs;
    if (run.target != targetOf(record.request) || run.body != requestBody(run.id))
        add("UNASKED", run.id + " arrived at the endpoint with another target or body; target: " + run.target);
    if (run.hasKey || run.account != accountOf(record.request.key))
        add("UNASKED", run.id + " arrived at the endpoint with the caller's key or the wrong account; account: " + run.account);
    if (run.timeBudgetMs <= 0 || run.timeBudgetMs > record.request.timeBudgetMs + timeBudgetSlackMs)
        add("BUDGET", fmt::format("{} was forwarded with a time budget of {} ms; its caller set {} ms", run.id, run.timeBudgetMs, record.request.timeBudgetMs));
    if (record.runs > 1 && !mayRunAgain(record.request.kind))
        add("TWICE", run.id + " must run at most once, and ran again at " + run.endpoint);
    if (record.isRefusedAsNotRun && !mayRunAgain(record.request.kind))
        add("REFUSED", run.id + " was run after its caller got a refusal");
    if (record.request.key == limitedKey)
        m_limitedRunsAt.push_back(run.at);
    const auto draining = m_drainingSince.find(run.endpoint);
    if (m_settings.isTimed && draining != m_drainingSince.end() && record.sentAt > draining->second + drainBound && isSettledAt(draining->second))
        add("DRAIN", fmt::format("{} reached {}, which had been draining for {} ms when the request was sent", run.id, run.endpoint, std::chrono::duration_cast<milliseconds>(record.sentAt - draining->second).count()));
}

void promise_checker::recordAnswer(const std::string& id, const observed_answer& answer, moment at)
{
    const std::lock_guard guard(m_mutex);
    request_record& record = m_requests[id];
    if (answer.status > 0 && answer.id != id)
        add("MIXED", fmt::format("{} got an answer with status {} for the request id '{}'", id, answer.status, answer.id));
    if (answer.saysLeaving)
        recordLeavingPassedOn(record, at);
    m_outcomes["answers with Server-Leaving"] += answer.saysLeaving ? 1 : 0;
    if (isSuccess(answer.status)) {
        checkSuccess(record, answer);
        checkKeyVersion(record, true, at);
    } else if (guaranteesNoRun(answer.status)) {
        checkRefusal(record);
    } else if (answer.status == unauthorized) {
        checkKeyVersion(record, false, at);
    } else if (answer.status >= 300 && answer.status < 500) {
        add("DENIED", fmt::format("{} got status {}", id, answer.status));
    }
    if (answer.end == observed_answer::ending::Broken)
        checkLoss(record, at);
    if (answer.end == observed_answer::ending::TimedOut && m_settings.isPlannedOnly && m_settings.isTimed)
        add("CONFIG", id + " got no answer within its time budget");
    if (record.request.key == permanentKey && answer.end != observed_answer::ending::ClosedByCaller) {
        ++m_servedCounts.expected;
        m_servedCounts.served += isSuccess(answer.status) && answer.end == observed_answer::ending::Complete ? 1 : 0;
    }
    constexpr const char* endings[] = { "", " broken", " timed out", " left" };
    ++m_outcomes[std::to_string(answer.status) + endings[static_cast<int>(answer.end)]];
}

void promise_checker::checkSuccess(const request_record& record, const observed_answer& answer)
{
    const std::string expected = expectedAnswer(record.request);
    if (!answer.isSealed)
        add("MIXED", record.request.id + " got a success without the endpoint's seal");
    if (record.runs == 0)
        add("MIXED", record.request.id + " got a success but was never run");
    const bool isComplete = answer.end == observed_answer::ending::Complete;
    if (isComplete ? answer.body == expected : expected.starts_with(answer.body))
        return;
    const size_t wrongAt = std::mismatch(expected.begin(), expected.end(), answer.body.begin(), answer.body.end()).first - expected.begin();
    add(isStream(record.request.kind) ? "ORDER" : "MIXED", fmt::format("{}: received {} of {} bytes, first wrong byte at {}, answer {}", record.request.id, answer.body.size(), expected.size(), wrongAt, isComplete ? "complete" : "incomplete"));
}

/// Checks that a node process does not go back to a catalog older than one that its answers have already shown.
/// A temporary key is valid in two catalog versions only, so accepting or refusing it reveals the node's version.
void promise_checker::checkKeyVersion(const request_record& record, bool isKeyAccepted, moment at)
{
    const uint64_t added = versionOfKey(record.request.key);
    if (added == 0) {
        if (!isKeyAccepted)
            add("DENIED", record.request.id + " got 401 although every catalog has its key");
        return;
    }
    node_record& node = m_nodes[record.node];
    if (record.sentAt <= node.startedAt)
        return;
    const bool isAfterFloor = record.sentAt > node.floorObservedAt + regressionSlack;
    const uint64_t lastVersion = added + 1;
    if (isKeyAccepted && isAfterFloor && lastVersion < node.versionFloor)
        add("CONFIG", fmt::format("{}: node {} accepted {} after it had used catalog version {}", record.request.id, record.node, record.request.key, node.versionFloor));
    if (!isKeyAccepted && isAfterFloor && node.versionFloor >= added && m_newestSentVersion <= lastVersion)
        add("CONFIG", fmt::format("{}: node {} refused {} after it had used catalog version {}", record.request.id, record.node, record.request.key, node.versionFloor));
    uint64_t floor = isKeyAccepted ? added : 0;
    if (!isKeyAccepted && node.versionFloor >= added)
        floor = lastVersion + 1;
    if (floor > node.versionFloor) {
        node.versionFloor = floor;
        node.floorObservedAt = at;
    }
    checkCatalogDelay(record, isKeyAccepted);
}

/// Checks that every node uses a catalog version at most catalogBound after the store acknowledged it.
void promise_checker::checkCatalogDelay(const request_record& record, bool isKeyAccepted)
{
    if (!m_settings.isTimed || !isSettledAt(record.sentAt))
        return;
    uint64_t requiredVersion = 0;
    for (const auto& [version, acknowledgedAt] : m_acknowledgedAt) {
        if (acknowledgedAt + catalogBound < record.sentAt)
            requiredVersion = version;
    }
    const uint64_t added = versionOfKey(record.request.key);
    if (isKeyAccepted && added + 1 < requiredVersion)
        add("CONFIG", fmt::format("{}: node {} accepted {} although catalog version {} must be in force", record.request.id, record.node, record.request.key, requiredVersion));
    if (!isKeyAccepted && added <= requiredVersion && m_newestSentVersion <= added + 1)
        add("CONFIG", fmt::format("{}: node {} refused {} although catalog version {} must be in force", record.request.id, record.node, record.request.key, requiredVersion));
}

void promise_checker::checkRefusal(request_record& record)
{
    record.isRefusedAsNotRun = true;
    if (record.runs > 0 && !mayRunAgain(record.request.kind))
        add("REFUSED", record.request.id + " was refused with a status that guarantees no run, but had run");
}

void promise_checker::checkLoss(const request_record& record, moment at)
{
    if (!m_settings.isPlannedOnly)
        return;
    if (record.runs > 0)
        add("LOST", fmt::format("{} was run, but its caller got no complete answer from node {}", record.request.id, record.node));
    else if (m_settings.isTimed && at > record.sentAt + lossSlack)
        add("LOST", fmt::format("{} was not run, and node {} closed its connection long after it was sent", record.request.id, record.node));
}

size_t maxCountInWindow(std::vector<moment> times, milliseconds window)
{
    std::sort(times.begin(), times.end());
    size_t maxCount = 0;
    size_t first = 0;
    for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window)
            ++first;
        maxCount = std::max(maxCount, last - first + 1);
    }
    return maxCount;
}

void promise_checker::checkAllowance()
{
    const double seconds = std::chrono::duration<double>(allowanceWindow).count();
    const double allowed = (limitedPerSecond * seconds + limitedBurst) * (1 + allowanceOvershoot) + allowanceSlack;
    const size_t maxCount = maxCountInWindow(m_limitedRunsAt, allowanceWindow);
    m_outcomes["most limited runs in a window"] = static_cast<int>(maxCount);
    if (static_cast<double>(maxCount) > allowed)
        add("QUOTA", fmt::format("{} runs for an account with a limit within one window, {:.0f} allowed", maxCount, allowed));
}

void promise_checker::checkRetryBudget()
{
    std::sort(m_sentAt.begin(), m_sentAt.end());
    std::sort(m_retriedAt.begin(), m_retriedAt.end());
    for (const moment end : m_retriedAt) {
        const moment start = end - retryWindow;
        const auto within = [&](const std::vector<moment>& times) {
            return std::upper_bound(times.begin(), times.end(), end) - std::upper_bound(times.begin(), times.end(), start);
        };
        if (static_cast<double>(within(m_retriedAt)) <= retryRatio * static_cast<double>(within(m_sentAt)) + retrySlack)
            continue;
        return add("BUDGET", fmt::format("{} retries for {} requests within one window", within(m_retriedAt), within(m_sentAt)));
    }
}

void promise_checker::checkDuties(const std::vector<PlatformTests::duty_call>& calls)
{
    std::map<std::string, std::map<uint64_t, std::string>> holders;
    std::map<int64_t, std::string> reports;
    for (const PlatformTests::duty_call& call : calls) {
        const auto [holder, isNew] = holders[call.duty].emplace(call.fence, call.holder);
        if (!isNew && holder->second != call.holder)
            add("ONE", fmt::format("{} and {} both used fence token {} for duty {}", holder->second, call.holder, call.fence, call.duty));
        if (!call.isAccepted || call.duty != "usage")
            continue;
        const auto body = nlohmann::json::parse(call.body);
        const std::string counts = body.at("counts").dump();
        const auto [earlier, isFirst] = reports.emplace(body.at("windowId").get<int64_t>(), counts);
        if (!isFirst && earlier->second != counts)
            add("ONE", fmt::format("usage window {} was reported as {} and as {}", earlier->first, earlier->second, counts));
    }
    m_outcomes["usage windows"] = static_cast<int>(reports.size());
    m_outcomes["duty calls"] = static_cast<int>(calls.size());
}

promise_checker::served_counts promise_checker::takeServedCounts()
{
    const std::lock_guard guard(m_mutex);
    return std::exchange(m_servedCounts, {});
}

void promise_checker::finish(const std::vector<PlatformTests::duty_call>& calls)
{
    const std::lock_guard guard(m_mutex);
    checkAllowance();
    checkRetryBudget();
    checkDuties(calls);
}

std::vector<breach> promise_checker::breaches() const
{
    const std::lock_guard guard(m_mutex);
    return m_breaches;
}

std::map<std::string, int> promise_checker::outcomes() const
{
    const std::lock_guard guard(m_mutex);
    return m_outcomes;
}

} // namespace Faults
