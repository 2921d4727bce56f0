/// @file
/// What all nodes together send to endpoints with a limit, on a virtual clock.

#include "LimitDay.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace LimitDays;

} // namespace

TEST_GROUP(SharedLimits) {};

TEST(SharedLimits, AllNodesTogetherKeepTheLimitOfAnEndpointAndUseIt)
{
    const day_plan rows[] = {
        { "one node, a tenth a second", 1, 3, 0.1, 20 },
        { "one node", 1, 3, 1, 4 },
        { "one node, a fraction", 1, 12, 2.5, 4 },
        { "one node, a large limit", 1, 3, 200, 2 },
        { "seven nodes, a tenth a second", 7, 3, 0.1, 40 },
        { "seven nodes, half a request", 7, 12, 0.5, 8 },
        { "seven nodes", 7, 12, 1, 4 },
        { "seven nodes, a little over the limit", 7, 3, 4, 1.5 },
        { "seven nodes, a large limit", 7, 3, 200, 2 },
        { "seven nodes, a very large limit", 7, 3, 1000, 1.5 },
        { "seven nodes, callers differ by 100", 7, 12, 1, 4, 100 },
        { "seven nodes, all demand at one", 7, 12, 1, 4, 1, trouble::None, false, 1 },
        { "seven nodes, one hears first", 7, 3, 1, 8, 1, trouble::None, true },
        { "seven nodes, some join", 7, 12, 1, 4, 1, trouble::Joins },
        { "seven nodes, some join, a large limit", 7, 3, 100, 2, 1, trouble::Joins },
        { "seven nodes, some die", 7, 12, 1, 4, 1, trouble::Dies },
        { "seven nodes, some are frozen", 7, 12, 1, 4, 1, trouble::Frozen },
        { "seven nodes, some are cut off", 7, 12, 1, 4, 1, trouble::CutOff },
        { "seven nodes, some are cut off, a large limit", 7, 3, 100, 2, 1, trouble::CutOff },
        { "seven nodes, all start anew", 7, 12, 1, 4, 1, trouble::Restarts },
        { "80 nodes", 80, 12, 4, 8 },
        { "80 nodes, few requests", 80, 3, 0.5, 40 },
        { "80 nodes, callers differ by 100", 80, 12, 4, 8, 100 },
        { "80 nodes, some join", 80, 12, 4, 8, 1, trouble::Joins },
        { "80 nodes, some die", 80, 12, 4, 8, 1, trouble::Dies },
        { "80 nodes, some are cut off", 80, 12, 4, 8, 1, trouble::CutOff },
        { "300 nodes, one limited endpoint of few", 300, 3, 1, 100 },
        { "300 nodes", 300, 12, 4, 25 },
        { "300 nodes, 240 endpoints", 300, 240, 1, 6 },
        { "300 nodes, callers differ by 100", 300, 12, 4, 25, 100 },
        { "300 nodes, one hears first", 300, 12, 1, 100, 1, trouble::None, true },
        { "300 nodes, some join", 300, 12, 4, 25, 1, trouble::Joins },
        { "300 nodes, some die", 300, 12, 4, 25, 1, trouble::Dies },
        { "300 nodes, all start anew", 300, 12, 4, 25, 1, trouble::Restarts },
    };
    std::string failed;
    for (const day_plan& plan : rows)
        failed += findFailure(plan);
    STRCMP_EQUAL("", failed.c_str());
}

TEST(SharedLimits, AGrantBeyondAllBoundsIsNotBelieved)
{
    shared_limits state;
    state.self = { "n0" };
    state.peers = { { "n1" }, { "n2" } };
    const endpoint_start start { { "e" }, { 1 } };
    stateLimit(state, start, 1, at(0));
    recordMissedToken(state, start);
    applyMessage(state, { "n1" }, token_grant { { start, 1, milliseconds(0) }, UINT32_MAX, milliseconds(UINT32_MAX) }, at(1));
    CHECK_EQUAL(maxTokensInHand, state.pools.at(start).expiries.size());
    CHECK_TRUE(timeToNextAsk(state, start, at(1)) <= maxAskInterval);
}
