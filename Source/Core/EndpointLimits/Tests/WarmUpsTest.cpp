/// @file
/// What all nodes together send to cold endpoints in any one second, and how long an endpoint counts as cold.

#include "LimitDay.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace LimitDays;

const endpoint_start start { { "e" }, { 1 } };

} // namespace

TEST_GROUP(WarmUps) {};

// Guards against nodes that all rush to an endpoint which has just appeared and is idle.
TEST(WarmUps, AllNodesTogetherKeepTheBoundOfAColdEndpointInEverySecond)
{
    const cold_bound usual { 9, 1.5, 5 };
    const day_plan rows[] = {
        { "one node", 1, 3, 9, 4, 1, trouble::None, false, 0, usual },
        { "6 nodes", 6, 12, 9, 4, 1, trouble::None, false, 0, usual },
        { "6 nodes, all demand at one", 6, 12, 9, 4, 1, trouble::None, false, 1, usual },
        { "6 nodes, a small rate", 6, 12, 1, 20, 1, trouble::None, false, 0, cold_bound { 1, 1.5, 5 } },
        { "89 nodes", 89, 12, 9, 4, 1, trouble::None, false, 0, usual },
        { "89 nodes, 30 endpoints", 89, 30, 9, 4, 1, trouble::None, false, 0, usual },
        { "89 nodes, callers differ by 100", 89, 12, 9, 4, 100, trouble::None, false, 0, usual },
        { "89 nodes, some are cut off", 89, 12, 9, 4, 1, trouble::CutOff, false, 0, usual },
        { "89 nodes, some die", 89, 12, 9, 4, 1, trouble::Dies, false, 0, usual },
        { "300 nodes", 300, 12, 9, 8, 1, trouble::None, false, 0, usual },
        { "300 nodes, all start anew", 300, 12, 9, 8, 1, trouble::Restarts, false, 0, usual },
    };
    std::string failed;
    for (const day_plan& plan : rows) {
        const day_result result = limit_day(plan).play();
        const double allowed = plan.cold->perSecond * plan.cold->overshoot + plan.cold->slack;
        if (static_cast<double>(result.mostInOneSecond) > allowed || result.usedWhileCold <= 0)
            failed += fmt::format("\n{}: {} in one second where {:.1f} are allowed, {:.2f} a second used", plan.condition, result.mostInOneSecond, allowed, result.usedWhileCold);
    }
    STRCMP_EQUAL("", failed.c_str());
}

TEST(WarmUps, AnEndpointCountsAsColdForTheTimeThatIsListedOrAssumed)
{
    struct listing {
        int ms;
        int leftMs;
    };
    struct row {
        const char* condition;
        std::vector<listing> listings;
        int assumedAtMs; ///< It counts as cold for 3 s from then on; negative: never.
        std::vector<int> coldAtMs;
        std::vector<int> warmAtMs;
    };
    const row rows[] = {
        { "warm from the start", { { 0, 0 } }, -1, {}, { 0 } },
        { "cold at its start", { { 0, 3000 } }, -1, { 0, 2999 }, { 3000 } },
        { "listed again without a change", { { 0, 3000 }, { 2000, 3000 } }, -1, { 2999 }, { 3000 } },
        { "warm before its time", { { 0, 3000 }, { 1000, 0 } }, -1, {}, { 1000 } },
        { "cold again", { { 0, 3000 }, { 3000, 0 }, { 9000, 2500 } }, -1, { 9000, 11499 }, { 8000, 11500 } },
        { "in a zone that is taken back", { { 0, 0 } }, 5000, { 5000, 7999 }, { 8000 } },
        { "in a zone that is taken back, and listed again", { { 0, 0 }, { 6000, 0 } }, 5000, { 7999 }, { 8000 } },
    };
    for (const row& item : rows) {
        const auto isCold = [&item](int ms) {
            warm_up_map warmUps;
            for (const listing& entry : item.listings) {
                if (entry.ms <= ms)
                    recordWarmUp(warmUps, start, milliseconds(entry.leftMs), 5, at(entry.ms));
                if (item.assumedAtMs >= entry.ms && item.assumedAtMs <= ms)
                    assumeCold(warmUps, start, milliseconds(3000), 5, at(item.assumedAtMs));
            }
            return findColdRate(warmUps, start, at(ms)) > 0;
        };
        for (const int ms : item.coldAtMs)
            CHECK_TRUE_TEXT(isCold(ms), item.condition);
        for (const int ms : item.warmAtMs)
            CHECK_FALSE_TEXT(isCold(ms), item.condition);
    }
}

TEST(WarmUps, ABoundThatAllowsMoreThanItsRateGivesOutNoMoreThanTheRate)
{
    struct row {
        const char* condition;
        cold_bound bound;
        double lowest;
        double highest;
    };
    const row rows[] = {
        { "no rate", { 0, 1.5, 5 }, 0, 0 },
        { "no bound in the settings", { 9, 0, 0 }, 0, 0 },
        { "the usual bound", { 9, 1.5, 5 }, 4, 9 },
        { "a wide bound", { 2, 10, 50 }, 2, 2 },
        { "a bound below what two buckets hold", { 1, 1, 0 }, 0.01, 0.1 },
    };
    for (const row& item : rows) {
        const double rate = coldTokenRate(item.bound);
        CHECK_TRUE_TEXT(rate >= item.lowest && rate <= item.highest, item.condition);
    }
}

// Guards against a token request of a node that knows no limit, which withdrew the limit at the owner.
TEST(WarmUps, AskingForAColdEndpointsTokensWithdrawsNoStatedLimit)
{
    shared_limits owner;
    owner.self = { "n0" };
    shared_limits asking;
    asking.self = { "n1" };
    asking.peers = { { "n0" } };
    stateLimit(owner, start, 7, at(0));
    recordWarmUp(asking.warmUps, start, milliseconds(3000), 5, at(0));
    recordMissedToken(asking, start);
    requestTokens(asking, at(100));
    for (const outgoing_message& item : asking.outgoing)
        applyMessage(owner, { "n1" }, item.message, at(110));
    CHECK_EQUAL(7, findRate(owner, start, at(120)));
}
