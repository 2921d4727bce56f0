/// @file
/// Placement of requests: distance, prompt cache, load, deadlines, ejection and prediction.

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
    Fleet::endpoint endpoint;
    endpoint.id = { id };
    endpoint.service = { "s" };
    endpoint.address = std::string("10.0.0.1:") + id;
    endpoint.zone = { zone };
    endpoint.version = { version };
    endpoint.slots = 6;
    return endpoint;
}

scheduler_state makeState(const std::vector<Fleet::endpoint>& endpoints)
{
    scheduler_state state;
    state.ownLocation = { { "a" }, { "r" }, { { { "a" }, { "r" } }, { { "b" }, { "r" } }, { { "c" }, { "q" } } } };
    for (const Fleet::endpoint& endpoint : endpoints)
        updateEndpoint(state, endpoint, at(0));
    return state;
}

placement_request makeModelWork(uint32_t tokens, const std::vector<prompt_part>& parts)
{
    placement_request request;
    request.service = { "s" };
    request.model = model_request { "m", tokens, 50, {}, parts };
    request.arrived = at(0);
    request.deadline = at(5000);
    return request;
}

placement_request makePlainWork()
{
    placement_request request;
    request.service = { "s" };
    request.arrived = at(0);
    request.deadline = at(1000);
    return request;
}

} // namespace

TEST_GROUP(Scheduler) {};

TEST(Scheduler, TheClosestIdleEndpointIsPreferred)
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

TEST(Scheduler, PromptsWithASharedPrefixGoToTheEngineThatCachedIt)
{
    // Many requests share few prefixes. An idle engine without the prefix must not win over the one that has cached it.
    scheduler_state state = makeState({ makeEndpoint("1", "a"), makeEndpoint("2", "a"), makeEndpoint("3", "a") });
    const auto first = place(state, makeModelWork(9000, { { "subject", 6000 }, { "own1", 3000 } }), {}, at(0));
    recordFirstEvent(state, first->endpoint, first->id, at(300));
    recordEnd(state, first->endpoint, first->id, placement_end::Served, at(400));
    const auto second = place(state, makeModelWork(9000, { { "subject", 6000 }, { "own2", 3000 } }), {}, at(500));
    CHECK(first->endpoint == second->endpoint);
    DOUBLES_EQUAL(3000, second->uncachedTokens, 0.1);
}

TEST(Scheduler, LoadIsSpreadEvenIfOneEngineHasCachedThePrefix)
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

TEST(Scheduler, UncoordinatedNodesSpreadOverIdleEngines)
{
    // Many nodes place few requests each, at the same moment, at engines that they have no measurements of. Without
    // random jitter they would all choose the same ones.
    constexpr int nodes = 60;
    constexpr int engines = 30;
    // An engine processes such a prompt in 300 ms: the fourth in its queue still begins within the target of 1200 ms.
    constexpr int maxWithinTarget = 4;
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
    int withinTarget = 0;
    for (const auto& [id, count] : counts)
        withinTarget += std::min(count, maxWithinTarget);
    // At least 90 % begin within the target.
    CHECK(withinTarget * 100 >= nodes * 90);
}

TEST(Scheduler, RequestsPredictedToMissTheirDeadlineAreRefused)
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

TEST(Scheduler, PlacementLimitsAreRespected)
{
    struct row {
        placement_limits limits;
        const char* chosen; ///< Empty: none.
    };
    const row rows[] = {
        { { { { "1" } }, {}, {} }, "2" },
        { { {}, Common::version_name { "v2" }, {} }, "2" },
        { { {}, {}, { { "v2" } } }, "1" },
        { { { { "1" } }, {}, { { "v2" } } }, "" },
    };
    for (const row& item : rows) {
        scheduler_state state = makeState({ makeEndpoint("1", "a"), makeEndpoint("2", "a", "v2") });
        const auto placed = place(state, makePlainWork(), item.limits, at(0));
        STRCMP_EQUAL(item.chosen, placed ? placed->endpoint.value.c_str() : "");
        if (!placed)
            CHECK(placed.error().reason == refusal_reason::NoEndpoint);
    }
}

TEST(Scheduler, AFailingEndpointIsEjectedAndRetriedLater)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a"), makeEndpoint("2", "c") });
    for (int failure = 0; failure < 3; ++failure) {
        const auto placed = place(state, makePlainWork(), {}, at(0));
        STRCMP_EQUAL("1", placed->endpoint.value.c_str());
        recordEnd(state, placed->endpoint, placed->id, placement_end::Failed, at(0));
    }
    STRCMP_EQUAL("2", place(state, makePlainWork(), {}, at(10))->endpoint.value.c_str());
    STRCMP_EQUAL("1", place(state, makePlainWork(), {}, at(900))->endpoint.value.c_str());
}

TEST(Scheduler, ALeavingEndpointGetsNoRequests)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a") });
    Fleet::endpoint leaving = makeEndpoint("1", "a");
    leaving.phase = Fleet::endpoint_phase::Leaving;
    updateEndpoint(state, leaving, at(1));
    CHECK(!place(state, makePlainWork(), {}, at(2)).has_value());
    CHECK(!hasEndpoint(state, { "s" }));
}

TEST(Scheduler, AnEndpointInBackoffGetsNoRequestEvenIfAllOthersAreEjectedOrAvoided)
{
    struct row {
        const char* condition;
        std::vector<int> backoffEnds; ///< Of endpoints e0, e1 and so on; zero: it wants requests.
        bool isOtherEjected; ///< Those that want requests are ejected.
        std::set<Common::endpoint_id> avoided;
        const char* chosen; ///< Empty: none.
        refusal expected;
    };
    const row rows[] = {
        { "one of two", { 900, 0 }, false, {}, "e1", {} },
        { "the other one is ejected", { 900, 0 }, true, {}, "e1", {} },
        { "all", { 900, 700 }, false, {}, "", { refusal_reason::BackingOff, milliseconds(600) } },
        { "all, the first one tried before", { 900, 1100 }, false, { { "e0" } }, "", { refusal_reason::BackingOff, milliseconds(800) } },
        { "the other one was tried before", { 900, 0 }, false, { { "e1" } }, "", { refusal_reason::NoEndpoint, milliseconds(200) } },
        { "ended", { 100 }, false, {}, "e0", {} },
    };
    for (const row& item : rows) {
        std::vector<Fleet::endpoint> endpoints;
        for (size_t index = 0; index < item.backoffEnds.size(); ++index)
            endpoints.push_back(makeEndpoint(("e" + std::to_string(index)).c_str(), "a"));
        scheduler_state state = makeState(endpoints);
        for (size_t index = 0; index < endpoints.size(); ++index) {
            if (item.backoffEnds[index] > 0)
                declareBackoff(state.declarations, endpoints[index].id, endpoints[index].started, at(item.backoffEnds[index]), at(0));
            else if (item.isOtherEjected)
                state.endpoints.at(endpoints[index].id).ejectedUntil = at(1000);
        }
        placement_limits limits;
        limits.avoided = item.avoided;
        const auto placed = place(state, { { "s" }, {}, at(100), at(5000) }, limits, at(100));
        STRCMP_EQUAL_TEXT(item.chosen, placed ? placed->endpoint.value.c_str() : "", item.condition);
        CHECK_TEXT(placed || (placed.error().reason == item.expected.reason && placed.error().retryAfter == item.expected.retryAfter), item.condition);
    }
}

TEST(Scheduler, ARestartResetsThePromptCache)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a") });
    const std::vector<prompt_part> parts { { "subject", 6000 } };
    const auto first = place(state, makeModelWork(6000, parts), {}, at(0));
    recordEnd(state, first->endpoint, first->id, placement_end::Served, at(1));
    Fleet::endpoint restarted = makeEndpoint("1", "a");
    restarted.started = { 5 };
    updateEndpoint(state, restarted, at(2));
    DOUBLES_EQUAL(6000, place(state, makeModelWork(6000, parts), {}, at(3))->uncachedTokens, 0.1);
}

TEST(Scheduler, PredictionsAdaptToThePrefillSpeed)
{
    scheduler_state state = makeState({ makeEndpoint("1", "a") });
    constexpr double actualMsPerToken = 0.009;
    double predicted = 0;
    for (int request = 0; request < 200; ++request) {
        const uint32_t tokens = 1000 + 97U * static_cast<uint32_t>(request % 60);
        placement_request modelRequest = makeModelWork(tokens, { { "own" + std::to_string(request), tokens } });
        modelRequest.deadline = at(request * 1000 + 5000);
        const auto placed = place(state, modelRequest, {}, at(request * 1000));
        predicted = placed->predictedMs;
        const auto ms = static_cast<int>(25 + tokens * actualMsPerToken);
        recordFirstEvent(state, placed->endpoint, placed->id, at(request * 1000 + ms));
        recordEnd(state, placed->endpoint, placed->id, placement_end::Served, at(request * 1000 + ms));
    }
    const uint32_t lastTokens = 1000 + 97U * (199 % 60);
    DOUBLES_EQUAL(25 + lastTokens * actualMsPerToken, predicted, 8);
}

TEST_GROUP(PromptCache) {};

TEST(PromptCache, OnlyACachedPrefixCountsAndTheLeastRecentlyUsedPartIsEvicted)
{
    prompt_cache cache;
    cache.capacityTokens = 100;
    recordParts(cache, { { "a", 40 }, { "b", 30 } });
    CHECK_EQUAL(70, cachedTokens(cache, { { "a", 40 }, { "b", 30 }, { "c", 10 } }));
    CHECK_EQUAL(0, cachedTokens(cache, { { "x", 1 }, { "a", 40 } }));
    recordParts(cache, { { "a", 40 }, { "d", 50 } });
    CHECK_EQUAL(90, cachedTokens(cache, { { "a", 40 }, { "d", 50 } }));
    CHECK_EQUAL(40, cachedTokens(cache, { { "a", 40 }, { "b", 30 } }));
}
