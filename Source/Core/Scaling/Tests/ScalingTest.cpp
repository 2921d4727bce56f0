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

Fleet::endpoint makeEndpoint(int number, bool isReclaimable)
{
    constexpr const char* zones[] = { "a", "b", "c" };
    Fleet::endpoint item;
    item.id = { "i-" + std::to_string(number) };
    item.service = { "s" };
    item.zone = { zones[number % 3] };
    item.isReclaimable = isReclaimable;
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
        const wanted_map wanted = planEndpoints(makeService(), { item.demand, item.supply, {} });
        CHECK(sum(wanted, false) >= item.plainAtLeast);
        CHECK(sum(wanted, false) <= item.plainAtMost);
        CHECK(sum(wanted, true) >= 3);
    }
}

TEST(Plan, NumbersStayWithinTheBoundsOfAZone)
{
    const wanted_map wanted = planEndpoints(makeService(), { makeDemand(40, 1, 1), {}, {} });
    std::map<Common::zone_name, uint32_t> zones;
    for (const auto& [item, count] : wanted)
        zones[item.zone] += count;
    for (const auto& [zone, count] : zones)
        CHECK(count <= 6);
}

TEST(Plan, WhereNoneIsToBeHadPlainEndpointsGetTheRoom)
{
    // The load: every zone needs all it may have, and the cloud has just taken all reclaimable endpoints.
    plan_input input { makeDemand(3, 3, 3), {}, {} };
    CHECK_EQUAL(0, sum(planEndpoints(makeService(), input), false));
    input.exhausted = { { "a" }, { "b" }, { "c" } };
    const wanted_map wanted = planEndpoints(makeService(), input);
    CHECK(sum(wanted, false) >= 12);
    CHECK(sum(wanted, false) + sum(wanted, true) <= 18);
}

TEST(Plan, AServiceThatIsNotScaledIsLeftAlone)
{
    Catalog::service plain;
    plain.name = { "ledger" };
    CHECK(planEndpoints(plain, {}).empty());
}

TEST(Plan, BeforeAnyDemandIsKnownSomeOfWhatStandsIsKept)
{
    const supply_map supply { { { "a" }, { 3, 0 } }, { { "b" }, { 3, 0 } }, { { "c" }, { 3, 0 } } };
    const wanted_map wanted = planEndpoints(makeService(), { {}, supply, {}, 9 });
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

TEST(Plan, NothingIsOrderedBeforeTheFleetHasRegistered)
{
    // The load: the first node plans before any endpoint has written its entry; then they register one after the other.
    Catalog::catalog catalog;
    catalog.services.emplace(Common::service_name { "s" }, makeService());
    plan_memory memory;
    Fleet::endpoint_map endpoints;
    const auto plan = [&](int ms) { return planServices(catalog, endpoints, {}, {}, memory, milliseconds(3300), at(ms)); };
    CHECK(plan(0).empty());
    CHECK(plan(10000).empty());
    // With many nodes each reads of them every two seconds and more.
    for (int number = 0; number < 9; ++number) {
        Fleet::endpoint item = makeEndpoint(number, false);
        endpoints.emplace(item.id, item);
        const int readAt = 10000 + number / 3 * 2200;
        CHECK(plan(readAt).empty());
        CHECK(plan(readAt + 2100).empty());
    }
    const wanted_map wanted = plan(18000);
    CHECK(sum(wanted, false) >= 4);
    CHECK(sum(wanted, true) >= 6);
    // Endpoints that are given back since are no measure of the demand.
    for (int number = 0; number < 5; ++number)
        endpoints.erase(makeEndpoint(number, false).id);
    CHECK_EQUAL(sum(wanted, true), sum(plan(18300), true));
    // Once the cheap ones stand, the others are given back without delay.
    for (int number = 20; number < 29; ++number) {
        Fleet::endpoint item = makeEndpoint(number, true);
        endpoints.emplace(item.id, item);
    }
    CHECK_EQUAL(0, sum(plan(19000), false));
}

TEST(Plan, AnotherHolderDoesNotGiveBackAtOnceWhatIsInUse)
{
    // The load: the holder of the lease is killed, and the next one knows little of the demand yet.
    Catalog::catalog catalog;
    catalog.services.emplace(Common::service_name { "s" }, makeService());
    Fleet::endpoint_map endpoints;
    for (int number = 0; number < 12; ++number) {
        Fleet::endpoint item = makeEndpoint(number, true);
        endpoints.emplace(item.id, item);
    }
    demand_book demand;
    noteDemand(demand, { { "n" }, { "a" }, { { { "s" }, 20 } }, milliseconds(250) }, at(0));
    plan_memory memory;
    CHECK_EQUAL(12, sum(planServices(catalog, endpoints, demand, {}, memory, milliseconds(3300), at(0)), true));
    CHECK_EQUAL(12, sum(planServices(catalog, endpoints, demand, {}, memory, milliseconds(3300), at(2000)), true));
}

TEST(Plan, OrdersAreRepeatedUntilConfirmedAndAfterALoss)
{
    order_book orders;
    const subject item { { "s" }, { "a" }, true };
    const wanted_map wanted { { item, 2 } };
    CHECK(nextOrder(orders, wanted, at(0)).has_value());
    CHECK(!nextOrder(orders, wanted, at(0)).has_value());
    takeOutcome(orders, order_outcome::NoneAvailable, at(10));
    CHECK_EQUAL(1, exhaustedZones(orders, { "s" }, at(100)).size());
    CHECK(!nextOrder(orders, wanted, at(800)).has_value());
    CHECK(nextOrder(orders, wanted, at(2100)).has_value());
    takeOutcome(orders, order_outcome::Done, at(2110));
    CHECK(exhaustedZones(orders, { "s" }, at(2111)).empty());
    CHECK(!nextOrder(orders, wanted, at(5000)).has_value());
    noteLoss(orders, item, at(5001));
    CHECK(nextOrder(orders, wanted, at(5001)).has_value());
}

TEST_GROUP(Demand) {};

TEST(Demand, IsAnAverageThatNoiseDoesNotRaise)
{
    demand_book book;
    const auto tell = [&book](int now, double engineMs) {
        noteDemand(book, { { "n" }, { "a" }, { { { "s" }, engineMs } }, milliseconds(250) }, at(now));
    };
    int now = 0;
    double sum = 0;
    int samples = 0;
    // The load: one large request every second.
    for (; now < 20000; now += 250) {
        tell(now, now % 1000 == 0 ? 500 : 0);
        if (now < 10000)
            continue;
        sum += demandByZone(book, { "s" }, at(now))[{ "a" }].value;
        ++samples;
    }
    DOUBLES_EQUAL(0.5, sum / samples, 0.05);
    for (const int end = now + 3000; now < end; now += 250)
        tell(now, 500);
    CHECK(demandByZone(book, { "s" }, at(now))[{ "a" }].value > 1.3);
    CHECK(demandByZone(book, { "s" }, at(now + 10000)).empty());
}
