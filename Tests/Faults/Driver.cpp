/// @file
/// Runs callers against real nodes while engines, nodes, the ledger and the store fail according to a seeded plan. Then
/// checks, using only the callers' and the ledger's records, that no accepted request was lost and none ran twice.

#include "Common/Random.h"
#include "Harness/Callers.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>

namespace {

using namespace Harness;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr int streamCallers = 4;
constexpr int releaseCallers = 3;
constexpr uint64_t maxStreamsPerCaller = 200;
constexpr uint64_t maxReleasesPerCaller = 1000;
constexpr milliseconds releaseInterval { 25 };

struct run_options {
    uint64_t seed { 1 };
    int seconds { 20 };
    uint16_t basePort { 30000 };
    bool hasNodeKills { false };
};

struct stream_record {
    stream_request request;
    stream_result result;
    steady::time_point startedAt;
    steady::time_point endedAt;
};

struct release_record {
    std::string key;
    call_result result;
    steady::time_point endedAt;
};

/// Period in which one or two faults were active.
struct fault_period {
    steady::time_point causedAt;
    steady::time_point repairedAt;
};

struct node_kill {
    std::string node;
    steady::time_point at;
};

struct run_records {
    std::mutex mutex;
    std::vector<stream_record> streams;
    std::vector<release_record> releases;
    std::vector<node_kill> kills;
    std::map<std::string, int> faults;
    std::vector<fault_period> periods;
    int ungracefulStops { 0 };
};

void streamUntil(const cluster& target, run_records& records, int caller, uint64_t seed, steady::time_point end)
{
    Common::random_source random(seed, static_cast<uint64_t>(caller));
    for (uint64_t count = 0; count < maxStreamsPerCaller && steady::now() < end; ++count) {
        stream_record record;
        record.request.prompt = "summary " + std::to_string(caller) + " " + std::to_string(count);
        record.request.tokens = 10 + Common::uniformBelow(random, 500);
        record.request.firstNode = 1 + static_cast<int>(Common::uniformBelow(random, 3));
        record.request.timeLimitMilliseconds = 40000;
        record.startedAt = steady::now();
        record.result = streamChat(target, record.request);
        record.endedAt = steady::now();
        const std::lock_guard guard(records.mutex);
        records.streams.push_back(std::move(record));
    }
}

void releaseUntil(const cluster& target, run_records& records, int caller, uint64_t seed, steady::time_point end)
{
    constexpr int maxAttempts = 12;
    Common::random_source random(seed, static_cast<uint64_t>(caller) + streamCallers);
    for (uint64_t count = 0; count < maxReleasesPerCaller && steady::now() < end; ++count) {
        release_record record;
        record.key = "release-" + std::to_string(caller) + "-" + std::to_string(count);
        record.result = releaseCrates(target, record.key, "{}", 1 + static_cast<int>(Common::uniformBelow(random, 3)), maxAttempts, 1500);
        record.endedAt = steady::now();
        std::unique_lock lock(records.mutex);
        records.releases.push_back(std::move(record));
        lock.unlock();
        std::this_thread::sleep_for(releaseInterval);
    }
}

/// @p number selects the node or engine; faults of the store and the ledger ignore it.
struct fault {
    const char* name;
    void (*cause)(cluster&, run_records&, int number);
    void (*repair)(cluster&, run_records&, int number);
};

void noRepair(cluster&, run_records&, int) { }

void killEngine(cluster& target, run_records&, int number) { killProcess(target.engine(number)); }
void startEngine(cluster& target, run_records&, int number) { target.startEngine(number); }

void stallEngine(cluster& target, run_records&, int number) { target.control(target.engineUrl(number), { { "stalled", true }, { "ignore_cancel", true } }); }
void resumeEngine(cluster& target, run_records&, int number) { target.control(target.engineUrl(number), { { "stalled", false }, { "ignore_cancel", false } }); }

void stopNode(cluster& target, run_records& records, int number)
{
    constexpr int stopTimeoutMs = 15000;
    signalProcess(target.node(number), SIGTERM);
    if (waitForExit(target.node(number), stopTimeoutMs) != 0)
        ++records.ungracefulStops;
}

void startNode(cluster& target, run_records&, int number)
{
    target.startNode(number);
    target.waitFor(target.nodeUrl(number) + "/readyz");
}

void freezeNode(cluster& target, run_records&, int number) { signalProcess(target.node(number), SIGSTOP); }
void resumeNode(cluster& target, run_records&, int number) { signalProcess(target.node(number), SIGCONT); }

void killNode(cluster& target, run_records& records, int number)
{
    const std::lock_guard guard(records.mutex);
    records.kills.push_back({ "node-" + std::to_string(number), steady::now() });
    killProcess(target.node(number));
}

void disableStore(cluster& target, run_records&, int) { target.control(target.tableUrl(), { { "down", true } }); }
void enableStore(cluster& target, run_records&, int) { target.control(target.tableUrl(), { { "down", false } }); }
void dropStoreReplies(cluster& target, run_records&, int) { target.control(target.tableUrl(), { { "lose_replies", 3 } }); }
void slowStore(cluster& target, run_records&, int) { target.control(target.tableUrl(), { { "delay_ms", 400 } }); }
void restoreStoreSpeed(cluster& target, run_records&, int) { target.control(target.tableUrl(), { { "delay_ms", 0 } }); }
void cutLedgerBeforeRun(cluster& target, run_records&, int) { target.control(target.ledgerUrl(1), { { "cut_before", 2 } }); }
void cutLedgerAfterRun(cluster& target, run_records&, int) { target.control(target.ledgerUrl(1), { { "cut_after", 2 } }); }
void slowLedger(cluster& target, run_records&, int) { target.control(target.ledgerUrl(1), { { "delay_ms", 700 } }); }
void restoreLedgerSpeed(cluster& target, run_records&, int) { target.control(target.ledgerUrl(1), { { "delay_ms", 0 } }); }

constexpr fault plannedFaults[] = {
    { "engine_killed", killEngine, startEngine },
    { "engine_stalled", stallEngine, resumeEngine },
    { "node_stopped", stopNode, startNode },
    { "node_frozen", freezeNode, resumeNode },
    { "store_down", disableStore, enableStore },
    { "store_replies_lost", dropStoreReplies, noRepair },
    { "store_slow", slowStore, restoreStoreSpeed },
    { "ledger_cut_before", cutLedgerBeforeRun, noRepair },
    { "ledger_cut_after", cutLedgerAfterRun, noRepair },
    { "ledger_slow", slowLedger, restoreLedgerSpeed },
};

constexpr fault nodeKill { "node_killed", killNode, startNode };

void causeFaults(cluster& target, run_records& records, const run_options& options, steady::time_point end)
{
    constexpr uint32_t minFaultMs = 300;
    constexpr uint32_t faultSpreadMs = 2200;
    constexpr uint32_t minPauseMs = 1000;
    constexpr uint32_t pauseSpreadMs = 1500;
    Common::random_source random(options.seed);
    const uint32_t choices = std::size(plannedFaults) + (options.hasNodeKills ? 2 : 0);
    const auto pick = [&]() -> const fault& {
        const uint32_t choice = Common::uniformBelow(random, choices);
        return choice < std::size(plannedFaults) ? plannedFaults[choice] : nodeKill;
    };
    while (steady::now() < end) {
        const fault& first = pick();
        const fault& second = pick();
        const int firstNumber = 1 + static_cast<int>(Common::uniformBelow(random, 3));
        const int secondNumber = firstNumber % 3 + 1;
        const bool isPair = Common::uniformBelow(random, 2) == 0 && &first != &second;
        const uint32_t faultMs = minFaultMs + Common::uniformBelow(random, faultSpreadMs);
        const auto causedAt = steady::now();
        ++records.faults[first.name];
        first.cause(target, records, firstNumber);
        if (isPair) {
            ++records.faults[second.name];
            second.cause(target, records, secondNumber);
        }
        std::this_thread::sleep_for(milliseconds(faultMs));
        first.repair(target, records, firstNumber);
        if (isPair)
            second.repair(target, records, secondNumber);
        records.periods.push_back({ causedAt, steady::now() });
        std::this_thread::sleep_for(milliseconds(minPauseMs + Common::uniformBelow(random, pauseSpreadMs)));
    }
}

struct breach_counts {
    int lostStreams { 0 };
    int wrongStreams { 0 };
    int excusedByNodeKill { 0 }; ///< In flight at a node that was killed before it could hand them over; not a breach.
    int doubleRuns { 0 };
    int falseNotRun { 0 };
    int confirmedWithoutRun { 0 };
};

/// @return whether the stream may have been lost by a node kill: a kill of the node that accepted it, or of any node when
///         the caller had to reconnect.
bool isExcusedByNodeKill(const run_records& records, const stream_record& record)
{
    const std::string acceptingNode = record.result.requestId.substr(0, record.result.requestId.find('.'));
    return std::any_of(records.kills.begin(), records.kills.end(), [&](const node_kill& kill) {
        return kill.at >= record.startedAt && kill.at <= record.endedAt && (kill.node == acceptingNode || record.result.reconnects > 0);
    });
}

breach_counts countBreaches(const run_records& records, const std::map<std::string, uint64_t>& runs)
{
    breach_counts counts;
    for (const stream_record& record : records.streams) {
        const bool isRefused = !record.result.isAccepted;
        if (isRefused || isWholeAnswer(record.result, record.request))
            continue;
        if (isExcusedByNodeKill(records, record))
            ++counts.excusedByNodeKill;
        else if (record.result.isFinished || record.result.isOutOfOrder)
            ++counts.wrongStreams;
        else
            ++counts.lostStreams;
    }
    for (const auto& [key, count] : runs)
        counts.doubleRuns += count > 1 ? 1 : 0;
    for (const release_record& record : records.releases) {
        const auto found = runs.find(record.key);
        const uint64_t count = found == runs.end() ? 0 : found->second;
        counts.falseNotRun += record.result.isEveryAttemptNotRun && count > 0 ? 1 : 0;
        counts.confirmedWithoutRun += record.result.status == 200 && count == 0 ? 1 : 0;
    }
    return counts;
}

int confirmedBetween(const run_records& records, steady::time_point from, steady::time_point until)
{
    return static_cast<int>(std::count_if(records.releases.begin(), records.releases.end(), [&](const release_record& record) {
        return record.result.status == 200 && record.endedAt >= from && record.endedAt < until;
    }));
}

/// Measures the time from each repair to the first window of 500 ms with at least 80 % of the confirmed releases that a
/// window had on average before the first fault. Windows that overlap the next fault don't count, and repairs less than
/// 1 s before the next fault or the end are skipped.
/// @param[out] measured number of repairs that were not skipped.
/// @return seconds in ascending order, one value for each repair with such a window.
std::vector<double> measureRecovery(const run_records& records, steady::time_point startedAt, steady::time_point end, int& measured)
{
    constexpr milliseconds minObservationTime { 1000 };
    constexpr milliseconds window { 500 };
    constexpr milliseconds windowStep { 100 };
    constexpr double recoveredShare = 0.8;
    measured = 0;
    std::vector<double> seconds;
    if (records.periods.empty())
        return seconds;
    const auto faultFreeTime = records.periods.front().causedAt - startedAt;
    const double baselineConfirmed = confirmedBetween(records, startedAt, records.periods.front().causedAt) / (std::chrono::duration<double>(faultFreeTime) / window);
    for (size_t index = 0; index < records.periods.size(); ++index) {
        const auto repaired = records.periods[index].repairedAt;
        const auto observedUntil = index + 1 < records.periods.size() ? records.periods[index + 1].causedAt : end;
        if (observedUntil - repaired < minObservationTime)
            continue;
        ++measured;
        for (auto at = repaired; at + window <= observedUntil; at += windowStep) {
            if (confirmedBetween(records, at, at + window) < baselineConfirmed * recoveredShare)
                continue;
            seconds.push_back(std::chrono::duration<double>(at - repaired).count());
            break;
        }
    }
    std::sort(seconds.begin(), seconds.end());
    return seconds;
}

nlohmann::ordered_json summarize(const run_records& records, const breach_counts& breaches, const run_options& options, steady::time_point startedAt)
{
    nlohmann::ordered_json line { { "seed", options.seed }, { "seconds", options.seconds } };
    int reconnects = 0;
    int whole = 0;
    for (const stream_record& record : records.streams) {
        reconnects += record.result.reconnects;
        whole += isWholeAnswer(record.result, record.request) ? 1 : 0;
    }
    std::map<std::string, int> outcomes;
    for (const release_record& record : records.releases)
        ++outcomes[record.result.status == 200 ? "confirmed" : record.result.code.empty() ? "no_answer"
                                                                                          : record.result.code];
    line["streams"] = records.streams.size();
    line["streams_whole"] = whole;
    line["reconnects"] = reconnects;
    line["releases"] = records.releases.size();
    line["release_outcomes"] = outcomes;
    line["faults"] = records.faults;
    line["lost_streams"] = breaches.lostStreams;
    line["wrong_streams"] = breaches.wrongStreams;
    line["excused_by_node_kill"] = breaches.excusedByNodeKill;
    line["double_runs"] = breaches.doubleRuns;
    line["false_not_run"] = breaches.falseNotRun;
    line["confirmed_without_run"] = breaches.confirmedWithoutRun;
    line["ungraceful_stops"] = records.ungracefulStops;
    int measured = 0;
    const std::vector<double> recovery = measureRecovery(records, startedAt, startedAt + std::chrono::seconds(options.seconds), measured);
    line["recoveries_looked_at"] = measured;
    line["recoveries_seen"] = recovery.size();
    line["recovery_s_median"] = recovery.empty() ? -1 : recovery[recovery.size() / 2];
    line["recovery_s_worst"] = recovery.empty() ? -1 : recovery.back();
    return line;
}

int run(const run_options& options)
{
    cluster_settings settings;
    settings.basePort = options.basePort;
    settings.nodeOptions = { "--address-ttl", "500", "--notice", "6000", "--reconnect-grace", "4000" };
    cluster target(settings);
    target.start();
    run_records records;
    const auto startedAt = steady::now();
    const auto end = startedAt + std::chrono::seconds(options.seconds);
    std::vector<std::thread> callers;
    for (int caller = 0; caller < streamCallers; ++caller)
        callers.emplace_back([&, caller] { streamUntil(target, records, caller, options.seed, end); });
    for (int caller = 0; caller < releaseCallers; ++caller)
        callers.emplace_back([&, caller] { releaseUntil(target, records, caller, options.seed, end); });
    constexpr milliseconds faultFreeTimeAtStart { 3000 };
    std::this_thread::sleep_for(faultFreeTimeAtStart);
    causeFaults(target, records, options, end);
    for (std::thread& caller : callers)
        caller.join();
    const breach_counts breaches = countBreaches(records, target.ledgerRuns());
    std::cout << summarize(records, breaches, options, startedAt).dump() << std::endl;
    if (std::getenv("SHOW_BREACHES")) {
        for (const stream_record& record : records.streams) {
            if (record.result.isAccepted && !isWholeAnswer(record.result, record.request))
                std::cerr << record.result.requestId << " tokens " << record.result.tokens << "/" << record.request.tokens << " error " << record.result.error << " out of order " << record.result.isOutOfOrder << " refusals " << record.result.refusals << "\n";
        }
    }
    const int total = breaches.lostStreams + breaches.wrongStreams + breaches.doubleRuns + breaches.falseNotRun + breaches.confirmedWithoutRun + records.ungracefulStops;
    return total == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    run_options options;
    CLI::App app { "Runs real nodes under seeded faults. Exit codes: 0 no breach, 1 a breach." };
    app.add_option("--seed", options.seed);
    app.add_option("--seconds", options.seconds);
    app.add_option("--port", options.basePort);
    app.add_flag("--node-kills", options.hasNodeKills, "Also kill nodes with SIGKILL");
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
