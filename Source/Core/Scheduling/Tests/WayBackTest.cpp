/// @file
/// Whatever made placement refuse work: once the evidence for it stops, requests are placed again in time.

#include "Scheduling/Scheduler.h"

#include <CppUTest/TestHarness.h>
#include <functional>

namespace {

using namespace Scheduling;

constexpr int contactMs = 4000;
constexpr int requestIntervalMs = 25;
constexpr int soundAnswerMs = 65;
const Common::service_name service { "s" };

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

placement_request makeRequest(uint32_t tokens, int now)
{
    static int number = 0;
    placement_request request { service, {}, at(now), at(now + 3000) };
    if (tokens > 0)
        request.model = model_request { "m", tokens, 24, {}, { { "own" + std::to_string(++number), tokens } } };
    return request;
}

scheduler_state makeState(int endpointCount)
{
    scheduler_state state;
    for (int number = 0; number < endpointCount; ++number) {
        Fleet::endpoint endpoint;
        endpoint.id = { "e" + std::to_string(number) };
        endpoint.service = service;
        endpoint.version = { "v1" };
        endpoint.slots = 64;
        updateEndpoint(state, endpoint, at(-100000));
    }
    return state;
}

using observer = std::function<void(scheduler_state&, const placement&, int)>;

/// Places requests until the given time; each is observed when its time has passed.
void runTraffic(scheduler_state& state, uint32_t tokens, int begin, int end, const std::function<int(int)>& answerAfter, const observer& observe)
{
    std::multimap<int, placement> open;
    for (int now = begin; now < end || !open.empty(); now += requestIntervalMs) {
        while (!open.empty() && open.begin()->first <= now) {
            observe(state, open.begin()->second, open.begin()->first);
            open.erase(open.begin());
        }
        const auto placed = now < end ? place(state, makeRequest(tokens, now), {}, at(now)) : tl::unexpected(refusal {});
        if (placed)
            open.emplace(now + answerAfter(now), *placed);
    }
}

void observeServed(scheduler_state& state, const placement& placed, int now)
{
    recordFirstEvent(state, placed.endpoint, placed.id, at(now));
    recordEnd(state, placed.endpoint, placed.id, placement_end::Served, at(now));
}

observer observeEnd(placement_end end)
{
    return [end](scheduler_state& state, const placement& placed, int now) { recordEnd(state, placed.endpoint, placed.id, end, at(now)); };
}

/// An engine that reads prompts one after the other, and is silent for a while every 5 s.
struct pausing_engine {
    int freeAt { -30000 };

    int answerAfter(int now)
    {
        constexpr int silenceMs = 1200;
        constexpr int promptMs = 23;
        constexpr int firstStepMs = 30;
        const int inPeriod = (now + 30000) % 5000;
        freeAt = std::max({ now, freeAt, now + silenceMs - inPeriod }) + promptMs;
        return freeAt + firstStepMs - now;
    }
};

void setFactors(scheduler_state& state, double endpointFactor, double serviceFactor)
{
    for (auto& [id, endpoint] : state.endpoints) {
        endpoint.latencyFactor = endpointFactor;
        endpoint.learnedAt = at(0);
    }
    state.serviceLatencyFactors[service] = serviceFactor;
    state.learnedAt[service] = at(0);
}

} // namespace

TEST_GROUP(WayBack) {};

TEST(WayBack, WhatRefusesWorkEndsInTimeWhenTheEvidenceStops)
{
    struct row {
        const char* belief;
        uint32_t tokens; ///< Of a prompt; zero: plain requests.
        std::function<void(scheduler_state&)> learn; ///< Ends at time zero.
    };
    const auto slow = [](int ms) { return [ms](int) { return ms; }; };
    const row rows[] = {
        { "six silences", 2368, [](auto& state) { runTraffic(
                                                      state, 2368, -30000, -3700, [engine = pausing_engine()](int now) mutable { return engine.answerAfter(now); }, observeServed); } },
        { "slow answers", 2368, [&](auto& state) { runTraffic(state, 2368, -30000, -2900, slow(2900), observeServed); } },
        { "slow answers, plain", 0, [&](auto& state) { runTraffic(state, 0, -30000, -2900, slow(2900), observeServed); } },
        { "slow long prompts", 9000, [&](auto& state) { runTraffic(state, 9000, -30000, -2900, slow(2900), observeServed); } },
        { "no answers in time", 2368, [&](auto& state) { runTraffic(state, 2368, -30000, -3000, slow(3000), observeEnd(placement_end::Abandoned)); } },
        { "largest factor of the endpoints", 9000, [](auto& state) { setFactors(state, 8, 1); } },
        { "largest factor of the service", 2368, [](auto& state) { setFactors(state, 1, 30); } },
        { "largest factors", 2368, [](auto& state) { setFactors(state, 8, 30); } },
        { "failures", 2368, [&](auto& state) { runTraffic(state, 2368, -5000, 0, slow(10), observeEnd(placement_end::Failed)); } },
        { "no connections", 0, [&](auto& state) { runTraffic(state, 0, -5000, 0, slow(10), observeEnd(placement_end::Unreachable)); } },
    };
    for (const row& item : rows) {
        for (const int endpointCount : { 1, 8 }) {
            scheduler_state state = makeState(endpointCount);
            item.learn(state);
            runTraffic(
                state, item.tokens, 0, contactMs, [](int) { return soundAnswerMs; }, observeServed);
            int placedCount = 0;
            constexpr int requests = 40;
            for (int now = contactMs + 1000; now < contactMs + 1000 + requests * requestIntervalMs; now += requestIntervalMs) {
                const auto placed = place(state, makeRequest(item.tokens, now), {}, at(now));
                placedCount += placed.has_value();
                if (placed)
                    observeServed(state, *placed, now + soundAnswerMs);
            }
            CHECK_EQUAL_TEXT(requests, placedCount, item.belief);
        }
    }
}

TEST(WayBack, WhileAServiceIsSlowRequestsAreTriedOnceInAWhile)
{
    scheduler_state state = makeState(8);
    setFactors(state, 8, 30);
    int placedCount = 0;
    runTraffic(
        state, 2368, 0, 10000, [&](int) { return ++placedCount, 60000; }, observeServed);
    CHECK(placedCount >= 5);
    CHECK(placedCount <= 10);
}
