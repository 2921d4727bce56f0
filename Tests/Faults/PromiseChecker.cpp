#include "Faults/PromiseChecker.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace Faults {

namespace {

    // The bounds that the platform's pages state, or a settings line of the soak's nodes.
    constexpr milliseconds inTouchAfter { 5000 };
    constexpr milliseconds catalogBound { 4000 };
    constexpr milliseconds drainBound { 4000 };
    constexpr milliseconds regressSlack { 250 };
    constexpr milliseconds lossSlack { 200 };
    constexpr milliseconds allowanceWindow { 8000 };
    constexpr double allowanceOvershoot = 0.1;
    constexpr double allowanceSlack = 10;
    constexpr milliseconds repeatWindow { 10000 };
    constexpr double repeatRatio = 0.2;
    constexpr double repeatSlack = 30;
    constexpr int budgetSlackMs = 500;
    constexpr size_t mostBreaches = 50;

    constexpr int unauthorized = 401;

    bool isPromiseOfNoRun(int status)
    {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }

    bool isSuccess(int status)
    {
        return status >= 200 && status < 300;
    }

    uint64_t versionOfKey(const std::string& key)
    {
        const size_t dash = key.find('-');
        return dash == std::string::npos ? 0 : std::stoull(key.substr(dash + 1));
    }

    std::string wholeAnswer(const work_request& request)
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

void promise_checker::add(const std::string& rule, const std::string& what)
{
    if (m_breaches.size() < mostBreaches)
        m_breaches.push_back({ rule, what });
}

void promise_checker::noteBreach(const std::string& rule, const std::string& what)
{
    const std::lock_guard guard(m_mutex);
    add(rule, what);
}

void promise_checker::noteCatalogSent(uint64_t version)
{
    const std::lock_guard guard(m_mutex);
    m_newestSent = version;
}

void promise_checker::noteCatalogAcknowledged(uint64_t version, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_acknowledged[version] = at;
}

void promise_checker::noteEndpointLeaving(const std::string& endpoint, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_leaving[endpoint] = at;
}

void promise_checker::noteEndpointBack(const std::string& endpoint)
{
    const std::lock_guard guard(m_mutex);
    m_leaving.erase(endpoint);
}

void promise_checker::noteNodeStart(int node, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_nodes[node] = { at, 0, at };
}

void promise_checker::noteDisturbance(moment at)
{
    const std::lock_guard guard(m_mutex);
    m_lastDisturbance = at;
}

/// @return whether everything has been in touch since before a moment.
bool promise_checker::isCalm(moment from) const
{
    return !m_lastDisturbance || *m_lastDisturbance + inTouchAfter < from;
}

void promise_checker::noteSent(const work_request& request, int node, moment at)
{
    const std::lock_guard guard(m_mutex);
    m_requests[request.id] = { request, node, at, 0, 0, false };
    m_sentAt.push_back(at);
}

void promise_checker::noteArrival(const std::string& id, moment at)
{
    const std::lock_guard guard(m_mutex);
    request_record& record = m_requests[id];
    if (++record.arrivals > 1)
        m_repeatedAt.push_back(at);
}

void promise_checker::noteRun(const run_seen& run)
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_requests.find(run.id);
    if (found == m_requests.end() || found->second.request.id.empty())
        return add("UNASKED", run.id + " was never sent");
    request_record& record = found->second;
    ++record.runs;
    if (run.target != targetOf(record.request) || run.body != requestBody(run.id))
        add("UNASKED", run.id + " arrived changed: " + run.target);
    if (run.hasKey || run.account != accountOf(record.request.key))
        add("UNASKED", run.id + " arrived with the account " + run.account);
    if (run.timeBudgetMs <= 0 || run.timeBudgetMs > record.request.timeBudgetMs + budgetSlackMs)
        add("BUDGET", fmt::format("{} was handed {} ms of {}", run.id, run.timeBudgetMs, record.request.timeBudgetMs));
    if (record.runs > 1 && !mayRunAgain(record.request.kind))
        add("TWICE", run.id + " ran once more at " + run.endpoint);
    if (record.isPromisedNotRun && !mayRunAgain(record.request.kind))
        add("REFUSED", run.id + " runs after its refusal");
    if (record.request.key == limitedKey)
        m_limitedRunsAt.push_back(run.at);
    const auto leaving = m_leaving.find(run.endpoint);
    if (m_settings.isTimed && leaving != m_leaving.end() && record.sentAt > leaving->second + drainBound && isCalm(leaving->second))
        add("DRAIN", fmt::format("{} reached {}, which left {} ms before it was sent", run.id, run.endpoint, std::chrono::duration_cast<milliseconds>(record.sentAt - leaving->second).count()));
}

void promise_checker::noteAnswer(const std::string& id, const answer_seen& answer, moment at)
{
    const std::lock_guard guard(m_mutex);
    request_record& record = m_requests[id];
    if (answer.status > 0 && answer.id != id)
        add("MIXED", fmt::format("{} got an answer {} that names '{}'", id, answer.status, answer.id));
    if (isSuccess(answer.status)) {
        checkSuccess(record, answer);
        checkKey(record, true, at);
    } else if (isPromiseOfNoRun(answer.status)) {
        checkRefusal(record);
    } else if (answer.status == unauthorized) {
        checkKey(record, false, at);
    } else if (answer.status >= 300 && answer.status < 500) {
        add("DENIED", fmt::format("{} got {}", id, answer.status));
    }
    if (answer.end == answer_seen::ending::Broken)
        checkLoss(record, at);
    if (answer.end == answer_seen::ending::TimedOut && m_settings.isPlannedOnly && m_settings.isTimed)
        add("CONFIG", id + " had no answer in its time");
    if (record.request.key == lastingKey && answer.end != answer_seen::ending::Left) {
        ++m_share.due;
        m_share.served += isSuccess(answer.status) && answer.end == answer_seen::ending::Complete ? 1 : 0;
    }
    constexpr const char* endings[] = { "", " broken", " timed out", " left" };
    ++m_outcomes[std::to_string(answer.status) + endings[static_cast<int>(answer.end)]];
}

void promise_checker::checkSuccess(const request_record& record, const answer_seen& answer)
{
    const std::string whole = wholeAnswer(record.request);
    if (!answer.isSealed)
        add("MIXED", record.request.id + " got a success without a seal");
    if (record.runs == 0)
        add("MIXED", record.request.id + " got a success and never ran");
    const bool isComplete = answer.end == answer_seen::ending::Complete;
    if (isComplete ? answer.body == whole : whole.starts_with(answer.body))
        return;
    const size_t wrongAt = std::mismatch(whole.begin(), whole.end(), answer.body.begin(), answer.body.end()).first - whole.begin();
    add(isStream(record.request.kind) ? "ORDER" : "MIXED", fmt::format("{}: {} of {} bytes, wrong from byte {}, {}", record.request.id, answer.body.size(), whole.size(), wrongAt, isComplete ? "complete" : "not complete"));
}

/// A node that has shown a version must not fall behind it within the life of its process.
void promise_checker::checkKey(const request_record& record, bool isTaken, moment at)
{
    const uint64_t added = versionOfKey(record.request.key);
    if (added == 0) {
        if (!isTaken)
            add("DENIED", record.request.id + " got 401 with a key that every catalog holds");
        return;
    }
    node_record& node = m_nodes[record.node];
    if (record.sentAt <= node.startedAt)
        return;
    const bool isAfterFloor = record.sentAt > node.floorSeenAt + regressSlack;
    const uint64_t last = added + 1;
    if (isTaken && isAfterFloor && last < node.versionFloor)
        add("CONFIG", fmt::format("{}: node {} took {} after it had shown version {}", record.request.id, record.node, record.request.key, node.versionFloor));
    if (!isTaken && isAfterFloor && node.versionFloor >= added && m_newestSent <= last)
        add("CONFIG", fmt::format("{}: node {} refused {} after it had shown version {}", record.request.id, record.node, record.request.key, node.versionFloor));
    uint64_t floor = isTaken ? added : 0;
    if (!isTaken && node.versionFloor >= added)
        floor = last + 1;
    if (floor > node.versionFloor) {
        node.versionFloor = floor;
        node.floorSeenAt = at;
    }
    checkLate(record, isTaken);
}

/// A version has to be in force on every node a while after its acknowledgement.
void promise_checker::checkLate(const request_record& record, bool isTaken)
{
    if (!m_settings.isTimed || !isCalm(record.sentAt))
        return;
    uint64_t due = 0;
    for (const auto& [version, acknowledgedAt] : m_acknowledged) {
        if (acknowledgedAt + catalogBound < record.sentAt)
            due = version;
    }
    const uint64_t added = versionOfKey(record.request.key);
    if (isTaken && added + 1 < due)
        add("CONFIG", fmt::format("{}: node {} took {} though version {} is due", record.request.id, record.node, record.request.key, due));
    if (!isTaken && added <= due && m_newestSent <= added + 1)
        add("CONFIG", fmt::format("{}: node {} refused {} though version {} is due", record.request.id, record.node, record.request.key, due));
}

void promise_checker::checkRefusal(request_record& record)
{
    record.isPromisedNotRun = true;
    if (record.runs > 0 && !mayRunAgain(record.request.kind))
        add("REFUSED", record.request.id + " was refused and has run");
}

void promise_checker::checkLoss(const request_record& record, moment at)
{
    if (!m_settings.isPlannedOnly)
        return;
    if (record.runs > 0)
        add("LOST", fmt::format("{} ran and got no whole answer from node {}", record.request.id, record.node));
    else if (m_settings.isTimed && at > record.sentAt + lossSlack)
        add("LOST", fmt::format("{} was cut by node {} late, without a run", record.request.id, record.node));
}

size_t mostWithin(std::vector<moment> times, milliseconds window)
{
    std::sort(times.begin(), times.end());
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

void promise_checker::checkAllowance()
{
    const double seconds = std::chrono::duration<double>(allowanceWindow).count();
    const double allowed = (limitedPerSecond * seconds + limitedBurst) * (1 + allowanceOvershoot) + allowanceSlack;
    const size_t most = mostWithin(m_limitedRunsAt, allowanceWindow);
    m_outcomes["most limited runs in a window"] = static_cast<int>(most);
    if (static_cast<double>(most) > allowed)
        add("QUOTA", fmt::format("{} requests of a limited account in a window, {:.0f} allowed", most, allowed));
}

void promise_checker::checkRepeats()
{
    std::sort(m_sentAt.begin(), m_sentAt.end());
    std::sort(m_repeatedAt.begin(), m_repeatedAt.end());
    for (const moment end : m_repeatedAt) {
        const moment start = end - repeatWindow;
        const auto within = [&](const std::vector<moment>& times) {
            return std::upper_bound(times.begin(), times.end(), end) - std::upper_bound(times.begin(), times.end(), start);
        };
        if (static_cast<double>(within(m_repeatedAt)) <= repeatRatio * static_cast<double>(within(m_sentAt)) + repeatSlack)
            continue;
        return add("BUDGET", fmt::format("{} repeats of {} requests in a window", within(m_repeatedAt), within(m_sentAt)));
    }
}

void promise_checker::checkDuties(const std::vector<PlatformTests::duty_call>& calls)
{
    std::map<std::string, std::map<uint64_t, std::string>> holders;
    std::map<int64_t, std::string> reports;
    for (const PlatformTests::duty_call& call : calls) {
        const auto [known, isNew] = holders[call.duty].emplace(call.fence, call.holder);
        if (!isNew && known->second != call.holder)
            add("ONE", fmt::format("{} and {} used token {} for {}", known->second, call.holder, call.fence, call.duty));
        if (!call.isAccepted || call.duty != "usage")
            continue;
        const auto body = nlohmann::json::parse(call.body);
        const std::string counts = body.at("counts").dump();
        const auto [earlier, isFirst] = reports.emplace(body.at("windowId").get<int64_t>(), counts);
        if (!isFirst && earlier->second != counts)
            add("ONE", fmt::format("window {} was reported as {} and as {}", earlier->first, earlier->second, counts));
    }
    m_outcomes["usage windows"] = static_cast<int>(reports.size());
    m_outcomes["duty calls"] = static_cast<int>(calls.size());
}

promise_checker::served_share promise_checker::takeServedShare()
{
    const std::lock_guard guard(m_mutex);
    return std::exchange(m_share, {});
}

void promise_checker::finish(const std::vector<PlatformTests::duty_call>& calls)
{
    const std::lock_guard guard(m_mutex);
    checkAllowance();
    checkRepeats();
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
