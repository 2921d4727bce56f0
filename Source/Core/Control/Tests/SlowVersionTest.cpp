/// @file
/// Rollouts of versions that answer more slowly, played on a virtual clock: requests, their first events and the evidence
/// between nodes.

#include "Control/RolloutTracker.h"

#include "Common/Random.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <functional>
#include <numbers>

namespace {

using namespace Control;

constexpr int64_t orderMs = 15000;
constexpr int64_t tickMs = 200;
constexpr int64_t streamMs = 400; ///< From the first event to the end.
constexpr double exposureShare = 0.1;
constexpr double exposureSlack = 50;
constexpr uint64_t maxBadAnswers = 50;
constexpr int64_t rollbackMs = 5000;

Common::instant at(int64_t ms)
{
    return Common::instant(std::chrono::milliseconds(ms));
}

struct load_row {
    double requestsPerSecond;
    size_t nodes;
    int64_t evidenceAgeMs;
    double slowShare; ///< Of the new version's answers that are slower, 0 to 1.
    double factor;
    int64_t slowFromMs;
};

struct rollout_result {
    std::optional<rollout_status> status;
    uint64_t requests { 0 };
    uint64_t newVersionRequests { 0 };
    bool isSentAfterRollbackTime { false };
};

struct simulated_fleet {
    load_row load {};
    Common::random_source random;
    std::vector<rollout_tracker> trackers;
    std::vector<uint32_t> shares;
    std::multimap<int64_t, std::function<void()>> events;
    int64_t now { 0 };
    uint64_t attempts { 0 };
    uint64_t badAnswers { 0 };
    int64_t lastBadAllowed { orderMs };
    rollout_result result;

    void apply(size_t node, const rollout_actions& actions)
    {
        for (const Rollout::rollout_action& action : actions) {
            if (const auto* published = std::get_if<Rollout::publish_shares>(&action))
                shares[node] = published->shares.contains({ "v2" }) ? published->shares.at({ "v2" }) : shares[node];
            if (const auto* end = std::get_if<Rollout::propose_end>(&action); end && node == 0 && !result.status)
                result.status = end->version.state == Configuration::version_state::Current ? rollout_status::Completed : rollout_status::Reverted;
            if (const auto* evidence = std::get_if<Rollout::broadcast_evidence>(&action))
                sendToOthers(node, Rollout::peer_evidence { { std::to_string(node) }, evidence->key, evidence->counts });
            if (const auto* latch = std::get_if<Rollout::broadcast_latch>(&action))
                sendToOthers(node, Rollout::peer_latch { latch->key, latch->cause });
        }
    }

    void sendToOthers(size_t node, const Rollout::rollout_message& message)
    {
        events.emplace(now + load.evidenceAgeMs, [this, node, message] {
            for (size_t other = 0; other < trackers.size(); ++other) {
                if (other != node)
                    apply(other, evaluate(trackers[other], Rollout::rollout_message(message), at(now)));
            }
        });
    }

    void report(size_t node, const Gateway::attempt_report& attempt) { apply(node, evaluate(trackers[node], toObservedAttempt(attempt), at(now))); }

    double drawLatencyMs(bool isSlow)
    {
        constexpr double logSpread = 0.6;
        const double normal = std::sqrt(-2 * std::log(1 - Common::uniformUnit(random))) * std::cos(2 * std::numbers::pi * Common::uniformUnit(random));
        return 100 * std::exp(logSpread * normal) * (isSlow ? load.factor : 1);
    }

    void sendRequest()
    {
        const size_t node = Common::uniformBelow(random, static_cast<uint32_t>(trackers.size()));
        const bool isNew = Common::uniformBelow(random, 1000) < shares[node];
        const bool isSlow = isNew && now >= load.slowFromMs && Common::uniformUnit(random) < load.slowShare;
        const double latencyMs = drawLatencyMs(isSlow);
        Gateway::attempt_report attempt { { "s" }, { isNew ? "v2" : "v1" }, { "r" }, Gateway::attempt_report::event::Begun, { ++attempts }, 100, 0 };
        ++result.requests;
        result.newVersionRequests += isNew ? 1 : 0;
        result.isSentAfterRollbackTime = result.isSentAfterRollbackTime || (isNew && now > lastBadAllowed);
        report(node, attempt);
        events.emplace(now + static_cast<int64_t>(latencyMs), [this, node, attempt, latencyMs] {
            report(node, { attempt.service, attempt.version, attempt.route, Gateway::attempt_report::event::FirstEvent, attempt.attempt, 100, latencyMs });
        });
        events.emplace(now + static_cast<int64_t>(latencyMs) + streamMs, [this, node, attempt, isSlow] {
            if (isSlow && ++badAnswers == maxBadAnswers)
                lastBadAllowed = now + rollbackMs;
            report(node, { attempt.service, attempt.version, attempt.route, Gateway::attempt_report::event::OnTime, attempt.attempt, 100, 0 });
        });
    }

    void scheduleRequest()
    {
        const double gapMs = -std::log(1 - Common::uniformUnit(random)) * 1000 / load.requestsPerSecond;
        events.emplace(now + std::max<int64_t>(1, std::llround(gapMs)), [this] {
            sendRequest();
            scheduleRequest();
        });
    }

    void scheduleTick()
    {
        events.emplace(now + tickMs, [this] {
            for (size_t node = 0; node < trackers.size(); ++node)
                apply(node, evaluate(trackers[node], Rollout::rollout_tick {}, at(now)));
            scheduleTick();
        });
    }

    void start()
    {
        const std::map<std::string, Store::row> rows { { "rollout/s", { { "op", "", "rollout/s" }, "", { 5 }, false } } };
        shares.assign(load.nodes, 0);
        for (size_t node = 0; node < load.nodes; ++node) {
            trackers.push_back(makeRolloutTracker(exposureShare, exposureSlack));
            apply(node, applyOrders(trackers[node], { { { "s" }, { "v2" }, std::chrono::milliseconds(orderMs) } }, rows, at(0)));
            apply(node, evaluate(trackers[node], Rollout::node_count_changed { load.nodes }, at(0)));
        }
        scheduleTick();
        scheduleRequest();
    }

    void run()
    {
        start();
        while (!events.empty() && events.begin()->first < orderMs) {
            const auto next = events.extract(events.begin());
            now = next.key();
            next.mapped()();
        }
    }
};

rollout_result play(const load_row& load, uint64_t seed)
{
    simulated_fleet fleet;
    fleet.load = load;
    fleet.random.seed(seed);
    fleet.run();
    return fleet.result;
}

std::string describe(const load_row& load, uint64_t seed, const rollout_result& result)
{
    return std::to_string(load.requestsPerSecond) + "/s, " + std::to_string(load.nodes) + " nodes, " + std::to_string(load.evidenceAgeMs) + " ms, "
        + std::to_string(load.slowShare) + " x " + std::to_string(load.factor) + ", seed " + std::to_string(seed) + ": " + std::to_string(result.newVersionRequests) + " of " + std::to_string(result.requests);
}

constexpr uint64_t seeds = 20;
/// Stated error: one good version in twenty.
constexpr uint64_t maxWronglyReverted = 1;

} // namespace

TEST_GROUP(SlowVersion) {};

TEST(SlowVersion, AVersionSeveralTimesSlowerIsNotCompletedAndStaysWithinTheExposure)
{
    const load_row rows[] = {
        { 0.5, 1, 300, 1, 4, 0 },
        { 2, 7, 300, 1, 4, 0 },
        { 10, 7, 300, 0.5, 4, 0 },
        { 100, 7, 300, 0.5, 4, 0 },
        { 100, 7, 300, 0.5, 8, 0 },
        { 100, 7, 300, 1, 2, 0 },
        { 100, 7, 300, 1, 4, 0 },
        { 100, 1, 300, 1, 8, 0 },
        { 100, 40, 3500, 0.5, 4, 0 },
        { 100, 7, 300, 0.5, 4, 3000 },
    };
    for (const load_row& load : rows) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const rollout_result result = play(load, seed);
            const std::string text = describe(load, seed, result);
            CHECK_TEXT(result.status == rollout_status::Reverted, text.c_str());
            CHECK_TEXT(static_cast<double>(result.newVersionRequests) <= exposureShare * static_cast<double>(result.requests) + exposureSlack, text.c_str());
            CHECK_TEXT(!result.isSentAfterRollbackTime, text.c_str());
        }
    }
}

TEST(SlowVersion, AGoodVersionIsCompletedUnlessTheTrafficIsTooLowToShowIt)
{
    struct row {
        load_row load;
        bool canBeShown;
    };
    const row rows[] = {
        { { 0.5, 1, 300, 0, 1, 0 }, false },
        { { 20, 7, 300, 0, 1, 0 }, true },
        { { 100, 1, 300, 0, 1, 0 }, true },
        { { 100, 7, 300, 0, 1, 0 }, true },
        { { 100, 40, 1500, 0, 1, 0 }, true },
    };
    for (const row& item : rows) {
        uint64_t completed = 0;
        for (uint64_t seed = 1; seed <= seeds; ++seed)
            completed += play(item.load, seed).status == rollout_status::Completed ? 1 : 0;
        const std::string text = describe(item.load, 0, {}) + ", completed " + std::to_string(completed);
        CHECK_TEXT(item.canBeShown ? completed + maxWronglyReverted >= seeds : completed == 0, text.c_str());
    }
}
