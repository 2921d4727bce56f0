/// @file
/// Rollouts: bad versions latch early, good ones take over in time, latches never open.

#include "Rollout/Rollout.h"

#include "Common/Random.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Rollout;

constexpr int64_t testStart = 1000000;
constexpr int64_t testPlan = 600000;
const rollout_key testKey { "model", { "v2" } };

std::shared_ptr<const Configuration::configuration> makeConfiguration(Configuration::version_state state = Configuration::version_state::TakingOver)
{
    Configuration::configuration config;
    Configuration::endpoint_version version;
    version.service = "model";
    version.name = { "v2" };
    version.state = state;
    version.startedAt = { testStart };
    version.deadline = { testStart + testPlan };
    config.versions["model/v2"] = version;
    return std::make_shared<const Configuration::configuration>(config);
}

struct rollout_run {
    rollout_state state;
    uint64_t toNew { 0 };
    uint64_t badAnswers { 0 };
    std::string end;
    std::string cause;
    int64_t endedAt { 0 };
};

/// How the new version behaves.
struct behaviour {
    double oldFailures { 0.005 };
    double newFailures { 0.005 };
    double oldLate { 0.03 };
    double newLate { 0.03 };
    double badFrom { 0 }; ///< Share of the plan from which the new rates hold.
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

void attempt(rollout_run& run, const behaviour& acting, Common::random_source& random, int64_t now)
{
    const uint32_t share = run.state.published["model"][{ "v2" }];
    const bool isNew = Common::uniformBelow(random, 1000) < share;
    const bool isTurned = now - testStart >= static_cast<int64_t>(acting.badFrom * testPlan);
    const double failures = isNew && isTurned ? acting.newFailures : acting.oldFailures;
    const double late = isNew && isTurned ? acting.newLate : acting.oldLate;
    const Common::version_name version { isNew ? "v2" : "v1" };
    apply(run, stepRollout(run.state, attempt_observed { "model", version, { "summary" }, attempt_event::Begun }, { now }), now);
    attempt_event event = attempt_event::Good;
    if (Common::uniformUnit(random) < failures)
        event = attempt_event::Failed;
    else if (Common::uniformUnit(random) < late)
        event = attempt_event::Late;
    run.toNew += isNew ? 1 : 0;
    run.badAnswers += isNew && event != attempt_event::Good ? 1 : 0;
    apply(run, stepRollout(run.state, attempt_observed { "model", version, { "summary" }, event }, { now }), now);
}

rollout_run play(const behaviour& acting, uint64_t seed)
{
    rollout_run run;
    Common::random_source random(seed);
    stepRollout(run.state, configuration_seen { makeConfiguration() }, { testStart });
    for (int64_t now = testStart; now < testStart + testPlan && run.end.empty(); now += 1000) {
        for (int count = 0; count < acting.attemptsPerSecond; ++count)
            attempt(run, acting, random, now);
        apply(run, stepRollout(run.state, rollout_tick {}, { now }), now);
    }
    return run;
}

} // namespace

TEST_GROUP(Rollout) {};

TEST(Rollout, GoodOnesTakeOverAndBadOnesAreTakenBack)
{
    struct row {
        behaviour acting;
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
            const rollout_run run = play(item.acting, seed);
            STRCMP_EQUAL_TEXT(item.end, run.end.c_str(), run.cause.c_str());
            CHECK(run.endedAt < testStart + testPlan);
        }
    }
}

TEST(Rollout, ABadVersionIsStoppedAfterAFewAnswers)
{
    constexpr uint64_t seeds = 20;
    constexpr uint64_t mostBadAnswers = 20;
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        CHECK(play({ .newFailures = 1.0 }, seed).badAnswers <= mostBadAnswers);
}

TEST(Rollout, ALatchNeverOpensAndIsToldToAll)
{
    rollout_state state;
    stepRollout(state, configuration_seen { makeConfiguration() }, { testStart });
    const auto actions = stepRollout(state, peer_latch { testKey, "failing" }, { testStart });
    LONGS_EQUAL(2, actions.size());
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
    LONGS_EQUAL(0, stepRollout(state, peer_latch { testKey, "failing" }, { testStart }).size());
    // Neither time nor good evidence nor the same configuration again raises the share.
    stepRollout(state, configuration_seen { makeConfiguration() }, { testStart });
    for (int64_t now = testStart; now < testStart + testPlan; now += 1000)
        stepRollout(state, rollout_tick {}, { now });
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
}

TEST(Rollout, ALatchHeardBeforeTheConfigurationCounts)
{
    rollout_state state;
    stepRollout(state, peer_latch { testKey, "failing" }, { testStart });
    stepRollout(state, configuration_seen { makeConfiguration() }, { testStart });
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
}

TEST(Rollout, ATakenBackVersionGetsNothing)
{
    rollout_state state;
    stepRollout(state, configuration_seen { makeConfiguration() }, { testStart });
    const auto actions = stepRollout(state, configuration_seen { makeConfiguration(Configuration::version_state::TakenBack) }, { testStart });
    CHECK(!actions.empty());
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
    LONGS_EQUAL(0, state.active.size());
}

TEST(Rollout, BadnessOnOneClassAloneIsFound)
{
    rollout_state state;
    stepRollout(state, configuration_seen { makeConfiguration() }, { testStart });
    class_evidence counts;
    counts[{ "good" }] = { { 500, 500, 1, 5 }, { 5000, 5000, 10, 50 } };
    counts[{ "bad" }] = { { 20, 20, 12, 0 }, { 200, 200, 1, 2 } };
    stepRollout(state, peer_evidence { { "b" }, testKey, counts }, { testStart });
    CHECK(state.latched.contains(testKey));
}

TEST(Rollout, TooManyUnansweredAttemptsStopTheTraffic)
{
    rollout_state state;
    stepRollout(state, configuration_seen { makeConfiguration() }, { testStart });
    stepRollout(state, nodes_counted { 7 }, { testStart });
    for (int count = 0; count < 4; ++count)
        stepRollout(state, attempt_observed { "model", { "v2" }, { "summary" }, attempt_event::Begun }, { testStart });
    LONGS_EQUAL(0, state.published["model"][testKey.version]);
}
