/// @file
/// Demand, and the endpoints ordered for it while zones lose what is reclaimable.

#include "Scaling/Demand.h"
#include "Scaling/Plan.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Scaling;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

Catalog::service makeService()
{
    Catalog::service item;
    item.name = { "s" };
    item.scaling = Catalog::scaling_bounds { 1, 6, milliseconds(4000), 0.22, { { { "a" }, 0.85 }, { { "b" }, 1.2 }, { { "c" }, 1.0 } } };
    return item;
}

uint32_t sum(const wanted_map& wanted, bool isReclaimable)
{
    uint32_t total = 0;
    for (const auto& [item, count] : wanted)
        total += item.isReclaimable == isReclaimable ? count : 0;
    return total;
}

std::map<Common::zone_name, busy_engines> makeDemand(double a, double b, double c)
{
    return { { { "a" }, { a } }, { { "b" }, { b } }, { { "c" }, { c } } };
}

} // namespace

TEST_GROUP(Plan) {};

TEST(Plan, TheLossOfAnyZoneLeavesEnough)
{
    struct row {
        std::map<Common::zone_name, busy_engines> demand;
        supply_map supply;
        uint32_t plainAtLeast;
        uint32_t plainAtMost;
    };
    const row rows[] = {
        // Reclaimable endpoints stand in all zones: no plain one is needed.
        { makeDemand(0.8, 0.8, 0.8), { { { "a" }, { 0, 3 } }, { { "b" }, { 0, 3 } }, { { "c" }, { 0, 3 } } }, 0, 0 },
        // One zone has lost them: another may follow.
        { makeDemand(0.8, 0.8, 0.8), { { { "a" }, { 0, 0 } }, { { "b" }, { 0, 3 } }, { { "c" }, { 0, 3 } } }, 1, 2 },
        // Nothing is to be had: plain ones carry all.
        { makeDemand(0.8, 0.8, 0.8), {}, 4, 5 },
        // Nothing is asked.
        { makeDemand(0, 0, 0), {}, 0, 0 },
    };
    for (const row& item : rows) {
        const wanted_map wanted = planEndpoints(makeService(), item.demand, item.supply);
        CHECK(sum(wanted, false) >= item.plainAtLeast);
        CHECK(sum(wanted, false) <= item.plainAtMost);
        CHECK(sum(wanted, true) >= 3);
    }
}

TEST(Plan, NumbersStayWithinTheBoundsOfAZone)
{
    const wanted_map wanted = planEndpoints(makeService(), makeDemand(40, 1, 1), {});
    std::map<Common::zone_name, uint32_t> zones;
    for (const auto& [item, count] : wanted)
        zones[item.zone] += count;
    for (const auto& [zone, count] : zones)
        CHECK(count <= 6);
}

TEST(Plan, AServiceThatIsNotScaledIsLeftAlone)
{
    Catalog::service plain;
    plain.name = { "ledger" };
    CHECK(planEndpoints(plain, {}, {}).empty());
}

TEST(Plan, BeforeAnyDemandIsKnownSomeOfWhatStandsIsKept)
{
    const supply_map supply { { { "a" }, { 3, 0 } }, { { "b" }, { 3, 0 } }, { { "c" }, { 3, 0 } } };
    const wanted_map wanted = planEndpoints(makeService(), {}, supply);
    CHECK(sum(wanted, false) + sum(wanted, true) >= 6);
}

TEST(Plan, NumbersRiseAtOnceAndFallLater)
{
    plan_memory memory;
    const subject item { { "s" }, { "a" }, true };
    steady(memory, { { item, 2 } }, at(0));
    CHECK_EQUAL(4, steady(memory, { { item, 4 } }, at(100))[item]);
    CHECK_EQUAL(4, steady(memory, { { item, 1 } }, at(200))[item]);
    CHECK_EQUAL(4, steady(memory, { { item, 1 } }, at(3000))[item]);
    CHECK_EQUAL(1, steady(memory, { { item, 1 } }, at(20000))[item]);
}

TEST(Plan, OrdersAreRepeatedUntilConfirmedAndAfterALoss)
{
    order_book orders;
    const subject item { { "s" }, { "a" }, true };
    const wanted_map wanted { { item, 2 } };
    CHECK(nextOrder(orders, wanted, at(0)).has_value());
    CHECK(!nextOrder(orders, wanted, at(0)).has_value());
    takeOutcome(orders, order_outcome::NoneAvailable, at(10));
    CHECK(!nextOrder(orders, wanted, at(100)).has_value());
    CHECK(nextOrder(orders, wanted, at(800)).has_value());
    takeOutcome(orders, order_outcome::Done, at(810));
    CHECK(!nextOrder(orders, wanted, at(5000)).has_value());
    noteLoss(orders, item, at(5001));
    CHECK(nextOrder(orders, wanted, at(5001)).has_value());
}

TEST_GROUP(Demand) {};

TEST(Demand, RisesFastFallsSlowlyAndForgetsSilentNodes)
{
    demand_book book;
    const auto tell = [&book](int now, double engineMs) {
        noteDemand(book, { { "n" }, { "a" }, { { { "s" }, engineMs } }, milliseconds(250) }, at(now));
    };
    int now = 0;
    for (; now < 3000; now += 250)
        tell(now, 500);
    const double risen = demandByZone(book, { "s" }, at(now))[{ "a" }].value;
    CHECK(risen > 1.6);
    CHECK(risen <= 2.0);
    for (; now < 6000; now += 250)
        tell(now, 0);
    const double fallen = demandByZone(book, { "s" }, at(now))[{ "a" }].value;
    CHECK(fallen > 0.5);
    CHECK(fallen < risen);
    CHECK(demandByZone(book, { "s" }, at(now + 10000)).empty());
}
