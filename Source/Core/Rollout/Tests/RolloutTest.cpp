/// @file
/// Rollouts: bad versions are latched after a few attempts, good ones take over in time, and a latch is permanent.

#include "Rollout/Rollout.h"

#include "Common/Random.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Rollout;

constexpr int64_t testStartMs = 1000000;
constexpr int64_t testPlanMs = 600000;
const rollout_key testKey { "model", { "v2" } };

std::shared_ptr<const Configuration::configuration> makeConfiguration(Configuration::version_state state = Configuration::version_state::TakingOver)
{
    Configuration::configuration config;
    Configuration::endpoint_version version;
    version.service = "model";
    version.name = { "v2" };
    version.state = state;
    version.startedAt = { testStartMs };
    version.deadline = { testStartMs + testPlanMs };
    config.versions["model/v2"] = version;
    return std::make_shared<const Configuration::configuration>(config);
}

struct rollout_run {
    rollout_state state;
    uint64_t attemptsAtNew { 0 };
    uint64_t badAnswers { 0 };
    std::string end;
    std::string cause;
    int64_t endedAt { 0 };
};

/// Traffic of a simulated rollout, and the rates of failed and late attempts of both versions.
struct rollout_scenario {
    double oldFailures { 0.005 };
    double newFailures { 0.005 };
    double oldLate { 0.03 };
    double newLate { 0.03 };
    double badFrom { 0 }; ///< Share of the planned time after which the new version has the new rates.
    int attemptsPerSecond { 20 };
};

void apply(rollout_run& run, const std::vector<rollout_action>& actions, int64_t now)
{
    for (const rollout_action& action : actions) {
        const auto* proposal = std::get_if<propose_end>(&action);
        if (!proposal || !run.end.empty())
            continue;
        run.end = Configuration::nameOf(proposal->version.state);
        run.endedAt = now;
        run.cause = proposal->cause;
    }
}

void simulateAttempt(rollout_run& run, const rollout_scenario& scenario, Common::random_source& random, int64_t now)
{
    const uint32_t share = run.state.published["model"][{ "v2" }];
    const bool isNew = Common::uniformBelow(random, 1000) < share;
    const bool usesNewRates = now - testStartMs >= static_cast<int64_t>(scenario.badFrom * testPlanMs);
    const double failures = isNew && usesNewRates ? scenario.newFailures : scenario.oldFailures;
    const double late = isNew && usesNewRates ? scenario.newLate : scenario.oldLate;
    const Common::version_name version { isNew ? "v2" : "v1" };
    apply(run, stepRollout(run.state, attempt_observed { "model", version, { "summary" }, attempt_event::Begun }, { now }), now);
    attempt_event event = attempt_event::Succeeded;
    if (Common::uniformUnit(random) < failures)
        event = attempt_event::Failed;
    else if (Common::uniformUnit(random) < late)
        event = attempt_event::Late;
    run.attemptsAtNew += isNew ? 1 : 0;
    run.badAnswers += isNew && event != attempt_event::Succeeded ? 1 : 0;
    apply(run, stepRollout(run.state, attempt_observed { "model", version, { "summary" }, event }, { now }), now);
}

rollout_run simulate(const rollout_scenario& scenario, uint64_t seed)
{
    rollout_run run;
    Common::random_source random(seed);
    stepRollout(run.state, configuration_changed { makeConfiguration() }, { testStartMs });
    for (int64_t now = testStartMs; now < testStartMs + testPlanMs && run.end.empty(); now += 1000) {
        for (int count = 0; count < scenario.attemptsPerSecond; ++count)
            simulateAttempt(run, scenario, random, now);
        apply(run, stepRollout(run.state, rollout_tick {}, { now }), now);
    }
    return run;
}

} // namespace

TEST_GROUP(Rollout) {};

TEST(Rollout, GoodVersionsTakeOverAndBadVersionsAreTakenBack)
{
    struct row {
        rollout_scenario scenario;
        const char* end;
    };
    const row rows[] = {
        { {}, "current" },
        { { .attemptsPerSecond = 1 }, "current" },
        { { .oldFailures = 0.05, .newFailures = 0.05 }, "current" },
        { { .newFailures = 1.0 }, "taken_back" },
        { { .newFailures = 0.2 }, "taken_back" },
        { { .newLate = 0.6 }, "taken_back" },
        { { .newFailures = 0.3, .badFrom = 0.5 }, "taken_back" },
        { { .newFailures = 1.0, .attemptsPerSecond = 1 }, "taken_back" },
        { { .attemptsPerSecond = 0 }, "taken_back" },
    };
    constexpr uint64_t seeds = 20;
    for (const row& item : rows) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const rollout_run run = simulate(item.scenario, seed);
            STRCMP_EQUAL_TEXT(item.end, run.end.c_str(), run.cause.c_str());
            CHECK(run.endedAt < testStartMs + testPlanMs);
        }
    }
}

TEST(Rollout, AFailingVersionIsStoppedAfterAFewBadAnswers)
{
    constexpr uint64_t seeds = 20;
    constexpr uint64_t maxBadAnswers = 20;
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        CHECK(simulate({ .newFailures = 1.0 }, seed).badAnswers <= maxBadAnswers);
}

TEST(Rollout, ALatchIsPermanentAndBroadcast)
{
    rollout_state state;
    stepRollout(state, configuration_changed { makeConfiguration() }, { testStartMs });
    const auto actions = stepRollout(state, peer_latch { testKey, "failing" }, { testStartMs });
    LONGS_EQUAL(2, actions.size());
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
    LONGS_EQUAL(0, stepRollout(state, peer_latch { testKey, "failing" }, { testStartMs }).size());
    // Neither the same configuration again nor the passing of time raises the share.
    stepRollout(state, configuration_changed { makeConfiguration() }, { testStartMs });
    for (int64_t now = testStartMs; now < testStartMs + testPlanMs; now += 1000)
        stepRollout(state, rollout_tick {}, { now });
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
}

TEST(Rollout, ALatchReceivedBeforeTheConfigurationApplies)
{
    rollout_state state;
    stepRollout(state, peer_latch { testKey, "failing" }, { testStartMs });
    stepRollout(state, configuration_changed { makeConfiguration() }, { testStartMs });
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
}

TEST(Rollout, ATakenBackVersionGetsNoTraffic)
{
    rollout_state state;
    stepRollout(state, configuration_changed { makeConfiguration() }, { testStartMs });
    const auto actions = stepRollout(state, configuration_changed { makeConfiguration(Configuration::version_state::RolledBack) }, { testStartMs });
    CHECK(!actions.empty());
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
    LONGS_EQUAL(0, state.active.size());
}

TEST(Rollout, FailuresInOneClassAreDetected)
{
    rollout_state state;
    stepRollout(state, configuration_changed { makeConfiguration() }, { testStartMs });
    class_evidence counts;
    counts[{ "good" }] = { { 500, 500, 1, 5 }, { 5000, 5000, 10, 50 } };
    counts[{ "bad" }] = { { 20, 20, 12, 0 }, { 200, 200, 1, 2 } };
    stepRollout(state, peer_evidence { { "b" }, testKey, counts }, { testStartMs });
    CHECK(state.latched.contains(testKey));
}

TEST(Rollout, TooManyUnansweredAttemptsStopTheTraffic)
{
    rollout_state state;
    stepRollout(state, configuration_changed { makeConfiguration() }, { testStartMs });
    stepRollout(state, node_count_changed { 7 }, { testStartMs });
    for (int count = 0; count < 4; ++count)
        stepRollout(state, attempt_observed { "model", { "v2" }, { "summary" }, attempt_event::Begun }, { testStartMs });
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
}
