/// @file
/// Placement of requests, and the load each rule answers.

#include "Scheduling/Scheduler.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Scheduling;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

Fleet::endpoint makeEndpoint(const char* id, const char* zone, const char* version = "v1")
{
    Fleet::endpoint item;
    item.id = { id };
    item.service = { "s" };
    item.address = std::string("10.0.0.1:") + id;
    item.zone = { zone };
    item.version = { version };
    item.slots = 6;
    return item;
}

scheduler_state makeState(const std::vector<Fleet::endpoint>& endpoints)
{
    scheduler_state state;
    state.here = { { "a" }, { "r" }, { { { "a" }, { "r" } }, { { "b" }, { "r" } }, { { "c" }, { "q" } } } };
    for (const Fleet::endpoint& item : endpoints)
        noteEndpoint(state, item, at(0));
    return state;
}

work makeModelWork(uint32_t tokens, const std::vector<prompt_part>& parts)
{
    work item;
    item.service = { "s" };
    item.model = model_facts { "m", tokens, 50, {}, parts };
    item.arrived = at(0);
    item.deadline = at(5000);
    return item;
}

work makePlainWork()
{
    work item;
    item.service = { "s" };
    item.arrived = at(0);
    item.deadline = at(1000);
    return item;
}

} // namespace

TEST_GROUP(Scheduler) {};

TEST(Scheduler, AnIdleEndpointNearbyIsPreferred)
{
    struct row {
        std::vector<Fleet::endpoint> endpoints;
        const char* chosen;
    };
    const row rows[] = {
        { { makeEndpoint("1", "c"), makeEndpoint("2", "a") }, "2" },
        { { makeEndpoint("1", "c"), makeEndpoint("2", "b") }, "2" },
        { { makeEndpoint("1", "c") }, "1" },
    };
    for (const row& item : rows) {
        scheduler_state state = makeState(item.endpoints);
        const auto placed = place(state, makePlainWork(), {}, at(0));
        CHECK(placed.has_value());
        STRCMP_EQUAL(item.chosen, placed->endpoint.value.c_str());
    }
}

TEST(Scheduler, PromptsThatShareAPartMeetAtTheEngineThatReadIt)
{
    // The load: many requests about few subjects, with idle engines beside the one that has read the subject.
    scheduler_state state = makeState({ makeEndpoint("1", "a"), makeEndpoint("2", "a"), makeEndpoint("3", "a") });
    const auto first = place(state, makeModelWork(9000, { { "subject", 6000 }, { "own1", 3000 } }), {}, at(0));
    noteBegun(state, first->endpoint, first->id, at(300));
    noteEnded(state, first->endpoint, first->id, placement_end::Served, at(400));
    const auto second = place(state, makeModelWork(9000, { { "subject", 6000 }, { "own2", 3000 } }), {}, at(500));
    CHECK(first->endpoint == second->endpoint);
    DOUBLES_EQUAL(3000, second->freshTokens, 0.1);
}

TEST(Scheduler, ABusyEngineIsLeftEvenWhenItHoldsThePrompt)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a"), makeEndpoint("2", "a") });
    std::map<Common::endpoint_id, int> counts;
    for (int request = 0; request < 12; ++request) {
        const auto placed = place(state, makeModelWork(9000, { { "subject", 6000 }, { "own" + std::to_string(request), 3000 } }), {}, at(0));
        CHECK(placed.has_value());
        ++counts[placed->endpoint];
    }
    CHECK_EQUAL(2, counts.size());
    for (const auto& [id, count] : counts)
        CHECK(count >= 4);
}

TEST(Scheduler, NodesThatKnowNothingOfEachOtherSpreadOverIdleEngines)
{
    // The load: many nodes that each place few requests at far more engines than they have met, all at one moment.
    constexpr int nodes = 60;
    constexpr int engines = 30;
    // An engine reads such a prompt in 300 ms: the fourth in a row still begins within an aim of 1200 ms.
    constexpr int mostInAim = 4;
    std::vector<Fleet::endpoint> fleet;
    for (int engine = 0; engine < engines; ++engine)
        fleet.push_back(makeEndpoint(std::to_string(100 + engine).c_str(), "a"));
    std::map<Common::endpoint_id, int> counts;
    for (uint64_t node = 0; node < nodes; ++node) {
        scheduler_state state = makeState(fleet);
        state.random = Common::random_source(node);
        const std::string own = "own" + std::to_string(node);
        const auto placed = place(state, makeModelWork(9000, { { own, 9000 } }), {}, at(0));
        CHECK(placed.has_value());
        ++counts[placed->endpoint];
    }
    int withinAim = 0;
    for (const auto& [id, count] : counts)
        withinAim += std::min(count, mostInAim);
    // Ninety in a hundred of them begin in time.
    CHECK(withinAim * 100 >= nodes * 90);
}

TEST(Scheduler, WhatCannotBeginInTimeIsRefusedAtOnce)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a") });
    int placedCount = 0;
    for (int request = 0; request < 100; ++request) {
        const auto placed = place(state, makeModelWork(9000, { { "own" + std::to_string(request), 9000 } }), {}, at(0));
        if (placed) {
            ++placedCount;
            continue;
        }
        CHECK(placed.error().reason == refusal_reason::TooLate);
        CHECK(placed.error().retryAfter > milliseconds(0));
    }
    CHECK(placedCount > 5);
    CHECK(placedCount < 40);
}

TEST(Scheduler, LimitsAreRespected)
{
    struct row {
        placement_limits limits;
        const char* chosen; ///< Empty: none.
    };
    const row rows[] = {
        { { { { "1" } }, {}, {} }, "2" },
        { { {}, Common::version_name { "v2" }, {} }, "2" },
        { { {}, {}, Common::version_name { "v2" } }, "1" },
        { { { { "1" } }, {}, Common::version_name { "v2" } }, "" },
    };
    for (const row& item : rows) {
        scheduler_state state = makeState({ makeEndpoint("1", "a"), makeEndpoint("2", "a", "v2") });
        const auto placed = place(state, makePlainWork(), item.limits, at(0));
        STRCMP_EQUAL(item.chosen, placed ? placed->endpoint.value.c_str() : "");
        if (!placed)
            CHECK(placed.error().reason == refusal_reason::NoEndpoint);
    }
}

TEST(Scheduler, AFailingEndpointRestsAndIsTriedAgain)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a"), makeEndpoint("2", "c") });
    for (int failure = 0; failure < 3; ++failure) {
        const auto placed = place(state, makePlainWork(), {}, at(0));
        STRCMP_EQUAL("1", placed->endpoint.value.c_str());
        noteEnded(state, placed->endpoint, placed->id, placement_end::Failed, at(0));
    }
    STRCMP_EQUAL("2", place(state, makePlainWork(), {}, at(10))->endpoint.value.c_str());
    STRCMP_EQUAL("1", place(state, makePlainWork(), {}, at(900))->endpoint.value.c_str());
}

TEST(Scheduler, AnEndpointThatLeavesTakesNothing)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a") });
    Fleet::endpoint leaving = makeEndpoint("1", "a");
    leaving.phase = Fleet::endpoint_phase::Leaving;
    noteEndpoint(state, leaving, at(1));
    CHECK(!place(state, makePlainWork(), {}, at(2)).has_value());
    CHECK(!hasEndpoint(state, { "s" }));
}

TEST(Scheduler, ARestartForgetsWhatTheEngineKept)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a") });
    const std::vector<prompt_part> parts { { "subject", 6000 } };
    const auto first = place(state, makeModelWork(6000, parts), {}, at(0));
    noteEnded(state, first->endpoint, first->id, placement_end::Served, at(1));
    Fleet::endpoint restarted = makeEndpoint("1", "a");
    restarted.started = { 5 };
    noteEndpoint(state, restarted, at(2));
    DOUBLES_EQUAL(6000, place(state, makeModelWork(6000, parts), {}, at(3))->freshTokens, 0.1);
}

TEST(Scheduler, TheReadingSpeedIsLearned)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a") });
    constexpr double actualMsPerToken = 0.009;
    double predicted = 0;
    for (int request = 0; request < 200; ++request) {
        const uint32_t tokens = 1000 + 97U * static_cast<uint32_t>(request % 60);
        work item = makeModelWork(tokens, { { "own" + std::to_string(request), tokens } });
        item.deadline = at(request * 1000 + 5000);
        const auto placed = place(state, item, {}, at(request * 1000));
        predicted = placed->predictedMs;
        const auto ms = static_cast<int>(25 + tokens * actualMsPerToken);
        noteBegun(state, placed->endpoint, placed->id, at(request * 1000 + ms));
        noteEnded(state, placed->endpoint, placed->id, placement_end::Served, at(request * 1000 + ms));
    }
    const uint32_t lastTokens = 1000 + 97U * (199 % 60);
    DOUBLES_EQUAL(25 + lastTokens * actualMsPerToken, predicted, 8);
}

TEST_GROUP(PromptCache) {};

TEST(PromptCache, OnlyAPrefixCountsAndTheLeastUsedLeaves)
{
    prompt_cache cache;
    cache.capacityTokens = 100;
    rememberParts(cache, { { "a", 40 }, { "b", 30 } });
    CHECK_EQUAL(70, cachedTokens(cache, { { "a", 40 }, { "b", 30 }, { "c", 10 } }));
    CHECK_EQUAL(0, cachedTokens(cache, { { "x", 1 }, { "a", 40 } }));
    rememberParts(cache, { { "a", 40 }, { "d", 50 } });
    CHECK_EQUAL(90, cachedTokens(cache, { { "a", 40 }, { "d", 50 } }));
    CHECK_EQUAL(40, cachedTokens(cache, { { "a", 40 }, { "b", 30 } }));
}
