/// @file
/// Averages of demand, and plans and orders of endpoints, also while zones lose their reclaimable endpoints.

#include "Scaling/Demand.h"
#include "Scaling/Plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>

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

// Guards against orders in a zone that operators have evacuated, and against its demand being planned for nowhere.
TEST(Plan, TheDemandOfEvacuatedZonesIsPlannedForInTheOthers)
{
    struct row {
        const char* condition;
        std::set<Common::zone_name> evacuated;
        std::set<std::string> zones; ///< With a plan.
    };
    const row rows[] = {
        { "none", {}, { "a", "b", "c" } },
        { "one", { { "a" } }, { "b", "c" } },
        { "two", { { "a" }, { "c" } }, { "b" } },
        { "all", { { "a" }, { "b" }, { "c" } }, {} },
    };
    for (const row& item : rows) {
        plan_input input;
        input.demand = makeDemand(0.9, 0.9, 0.9);
        input.evacuated = item.evacuated;
        const wanted_map wanted = planEndpoints(makeService(), input);
        std::set<std::string> zones;
        for (const auto& [target, count] : wanted)
            zones.insert(target.zone.value);
        CHECK_TRUE_TEXT(zones == item.zones, item.condition);
        // 2.7 busy endpoints need 3.6 at the target utilization.
        CHECK_TRUE_TEXT(zones.empty() || sum(wanted, true) + sum(wanted, false) >= 4, item.condition);
    }
}

TEST(Plan, EndpointsLeftAfterLosingAnyZoneCoverTheDemand)
{
    struct row {
        std::map<Common::zone_name, busy_engines> demand;
        supply_map supply;
        uint32_t plainAtLeast;
        uint32_t plainAtMost;
    };
    const row rows[] = {
        // All zones have reclaimable endpoints: no plain ones are needed.
        { makeDemand(0.8, 0.8, 0.8), { { { "a" }, { 0, 3 } }, { { "b" }, { 0, 3 } }, { { "c" }, { 0, 3 } } }, 0, 0 },
        // One zone has lost its reclaimable endpoints, and a second one may lose them too.
        { makeDemand(0.8, 0.8, 0.8), { { { "a" }, { 0, 0 } }, { { "b" }, { 0, 3 } }, { { "c" }, { 0, 3 } } }, 1, 2 },
        // No reclaimable endpoints exist: plain ones cover all demand.
        { makeDemand(0.8, 0.8, 0.8), {}, 4, 5 },
        // No demand.
        { makeDemand(0, 0, 0), {}, 0, 0 },
    };
    for (const row& item : rows) {
        const wanted_map wanted = planEndpoints(makeService(), { item.demand, item.supply, {} });
        CHECK(sum(wanted, false) >= item.plainAtLeast);
        CHECK(sum(wanted, false) <= item.plainAtMost);
        CHECK(sum(wanted, true) >= 3);
    }
}

TEST(Plan, CountsStayWithinTheLimitOfEachZone)
{
    const wanted_map wanted = planEndpoints(makeService(), { makeDemand(40, 1, 1), {}, {} });
    std::map<Common::zone_name, uint32_t> zones;
    for (const auto& [item, count] : wanted)
        zones[item.zone] += count;
    for (const auto& [zone, count] : zones)
        CHECK(count <= 6);
}

TEST(Plan, PlainEndpointsReplaceUnavailableReclaimableOnes)
{
    // Every zone needs its maximum, and the cloud has just taken back all reclaimable endpoints. Without the check for
    // exhausted zones, unavailable reclaimable endpoints would use up the maximum of the zone.
    plan_input input { makeDemand(3, 3, 3), {}, {} };
    CHECK_EQUAL(0, sum(planEndpoints(makeService(), input), false));
    input.exhausted = { { "a" }, { "b" }, { "c" } };
    const wanted_map wanted = planEndpoints(makeService(), input);
    CHECK(sum(wanted, false) >= 12);
    CHECK(sum(wanted, false) + sum(wanted, true) <= 18);
}

namespace {

/// The cloud of one service: a zone holds a limited number of endpoints, and reclaimable ones can be unavailable.
struct fake_cloud {
    static constexpr int bootMs = 4000;
    static constexpr uint32_t maxPerZone = 6;

    struct machine {
        bool isReclaimable { false };
        int readyAt { 0 };
    };

    std::map<Common::zone_name, std::vector<machine>> zones;
    bool hasReclaimable { true };

    order_outcome handle(const order& item, int now)
    {
        std::vector<machine>& machines = zones[item.zone];
        const auto isSameKind = [&item](const machine& other) { return other.isReclaimable == item.isReclaimable; };
        auto present = static_cast<uint32_t>(std::count_if(machines.begin(), machines.end(), isSameKind));
        if (present < item.desired && item.isReclaimable && !hasReclaimable)
            return order_outcome::NoneAvailable;
        for (; present < item.desired && machines.size() < maxPerZone; ++present)
            machines.push_back({ item.isReclaimable, now + bootMs });
        for (; present > item.desired; --present)
            machines.erase(std::find_if(machines.begin(), machines.end(), isSameKind));
        return order_outcome::Done;
    }

    Fleet::endpoint_map endpoints(int now) const
    {
        Fleet::endpoint_map ready;
        for (const auto& [zone, machines] : zones) {
            for (size_t index = 0; index < machines.size(); ++index) {
                Fleet::endpoint item;
                item.id = { zone.value + std::to_string(index) };
                item.service = { "s" };
                item.zone = zone;
                item.isReclaimable = machines[index].isReclaimable;
                if (machines[index].readyAt <= now)
                    ready.emplace(item.id, item);
            }
        }
        return ready;
    }
};

} // namespace

TEST(Plan, ReadyEndpointsCarryTheDemandWhilePlainOnesAreReplaced)
{
    // All reclaimable endpoints were taken back and none are to be had for a while, so the zones are full of plain ones.
    // When the cloud accepts orders for reclaimable ones again, these need room and time to start.
    Catalog::catalog catalog;
    catalog.services.emplace(Common::service_name { "s" }, makeService());
    fake_cloud cloud;
    for (const char* zone : { "a", "b", "c" })
        cloud.zones[{ zone }].assign(fake_cloud::maxPerZone, { false, 0 });
    plan_state planState;
    order_tracker orders;
    constexpr double busyPerZone = 3;
    constexpr int reclaimableFromMs = 10000;
    constexpr int endMs = 90000;
    demand_tracker demand;
    for (int now = 0; now < endMs; now += 250) {
        cloud.hasReclaimable = now >= reclaimableFromMs;
        for (const char* zone : { "a", "b", "c" })
            recordDemand(demand, { { zone }, { zone }, { { { "s" }, busyPerZone * 250 } }, milliseconds(250) }, at(now));
        const Fleet::endpoint_map ready = cloud.endpoints(now);
        // The first seconds fill the average of the demand.
        if (now > 10000)
            CHECK(static_cast<double>(ready.size()) >= 3 * busyPerZone);
        const wanted_map wanted = planServices(catalog, ready, demand, orders, planState, milliseconds(1550), at(now));
        if (const auto next = nextOrder(orders, wanted, at(now)))
            applyOutcome(orders, cloud.handle(*next, now), at(now));
    }
    // Most of the endpoints are reclaimable in the end.
    const supply_map supply = countSupply(cloud.endpoints(endMs), { "s" });
    uint32_t plain = 0;
    uint32_t reclaimable = 0;
    for (const auto& [zone, count] : supply) {
        plain += count.plain;
        reclaimable += count.reclaimable;
    }
    CHECK(reclaimable > plain);
}

TEST(Plan, AServiceWithoutScalingBoundsIsNotPlanned)
{
    Catalog::service plain;
    plain.name = { "ledger" };
    CHECK(planEndpoints(plain, {}).empty());
}

TEST(Plan, EndpointsAreKeptWhileDemandIsUnknown)
{
    const supply_map supply { { { "a" }, { 3, 0 } }, { { "b" }, { 3, 0 } }, { { "c" }, { 3, 0 } } };
    const wanted_map wanted = planEndpoints(makeService(), { {}, supply, {}, 9 });
    CHECK(sum(wanted, false) + sum(wanted, true) >= 6);
}

TEST(Plan, CountsRiseAtOnceAndFallAfterADelay)
{
    plan_state planState;
    const order_target target { { "s" }, { "a" }, true };
    delayDecreases(planState, { { target, 2 } }, at(0));
    CHECK_EQUAL(4, delayDecreases(planState, { { target, 4 } }, at(100))[target]);
    CHECK_EQUAL(4, delayDecreases(planState, { { target, 1 } }, at(200))[target]);
    CHECK_EQUAL(4, delayDecreases(planState, { { target, 1 } }, at(3000))[target]);
    CHECK_EQUAL(1, delayDecreases(planState, { { target, 1 } }, at(20000))[target]);
}

TEST(Plan, NothingIsOrderedBeforeTheInitialEndpointsHaveRegistered)
{
    // The first node plans before any endpoint has registered. The endpoints then register one after the other;
    // planning from a part of them would release the rest.
    Catalog::catalog catalog;
    catalog.services.emplace(Common::service_name { "s" }, makeService());
    plan_state planState;
    Fleet::endpoint_map endpoints;
    const auto plan = [&](int ms) { return planServices(catalog, endpoints, {}, {}, planState, milliseconds(3300), at(ms)); };
    CHECK(plan(0).empty());
    CHECK(plan(10000).empty());
    // In a large fleet a node reads the endpoint entries only about every two seconds.
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
    // Endpoints released since then don't lower the assumed demand.
    for (int number = 0; number < 5; ++number)
        endpoints.erase(makeEndpoint(number, false).id);
    CHECK_EQUAL(sum(wanted, true), sum(plan(18300), true));
    // Once the reclaimable endpoints are ready, the plain ones are released without delay.
    for (int number = 20; number < 29; ++number) {
        Fleet::endpoint item = makeEndpoint(number, true);
        endpoints.emplace(item.id, item);
    }
    CHECK_EQUAL(0, sum(plan(19000), false));
}

TEST(Plan, ANewLeaseHolderDoesNotReleaseEndpointsInUseAtOnce)
{
    // The lease holder is killed, and the new holder has received little demand so far. A plan from that demand alone
    // would release endpoints in use.
    Catalog::catalog catalog;
    catalog.services.emplace(Common::service_name { "s" }, makeService());
    Fleet::endpoint_map endpoints;
    for (int number = 0; number < 12; ++number) {
        Fleet::endpoint item = makeEndpoint(number, true);
        endpoints.emplace(item.id, item);
    }
    demand_tracker demand;
    recordDemand(demand, { { "n" }, { "a" }, { { { "s" }, 20 } }, milliseconds(250) }, at(0));
    plan_state planState;
    CHECK_EQUAL(12, sum(planServices(catalog, endpoints, demand, {}, planState, milliseconds(3300), at(0)), true));
    CHECK_EQUAL(12, sum(planServices(catalog, endpoints, demand, {}, planState, milliseconds(3300), at(2000)), true));
}

TEST(Plan, AHolderThatReturnsIgnoresThePlanOfItsEarlierTenure)
{
    // The node planned two endpoints in zone a, lost the lease while that number was about to fall, and holds it again
    // after another holder has ordered four for callers that are still there.
    Catalog::catalog catalog;
    catalog.services.emplace(Common::service_name { "s" }, makeService());
    const order_target target { { "s" }, { "a" }, true };
    plan_state planState;
    order_tracker orders;
    delayDecreases(planState, { { target, 2 } }, at(0));
    delayDecreases(planState, { { target, 1 } }, at(100));
    CHECK(nextOrder(orders, planState.wanted, at(100)).has_value());
    Fleet::endpoint_map endpoints;
    for (int number = 0; number < 12; ++number) {
        Fleet::endpoint item = makeEndpoint(number, true);
        endpoints.emplace(item.id, item);
    }
    demand_tracker demand;
    recordDemand(demand, { { "n" }, { "a" }, { { { "s" }, 20 } }, milliseconds(250) }, at(60000));
    resetForNewTenure(planState, orders);
    CHECK(!orders.current);
    CHECK_EQUAL(4, planServices(catalog, endpoints, demand, orders, planState, milliseconds(3300), at(60000))[target]);
    CHECK_EQUAL(4, planServices(catalog, endpoints, demand, orders, planState, milliseconds(3300), at(62000))[target]);
}

TEST(Plan, AfterARolloutThePlanKeepsTheNewVersionsEndpoints)
{
    // The old version's endpoints, all reclaimable, have stopped; those of the new one are plain.
    Catalog::catalog catalog;
    catalog.services.emplace(Common::service_name { "s" }, makeService());
    const order_target plain { { "s" }, { "a" }, false };
    const order_target other { { "other" }, { "a" }, false };
    plan_state planState;
    delayDecreases(planState, { { plain, 0 }, { other, 7 } }, at(0));
    Fleet::endpoint_map endpoints;
    for (int number = 0; number < 12; ++number) {
        Fleet::endpoint item = makeEndpoint(number, false);
        endpoints.emplace(item.id, item);
    }
    const uint32_t present = countSupply(endpoints, { "s" }).at({ "a" }).plain;
    demand_tracker demand;
    recordDemand(demand, { { "n" }, { "a" }, { { { "s" }, 1 } }, milliseconds(250) }, at(60000));
    restartPlan(planState, { "s" });
    CHECK_EQUAL(present, planServices(catalog, endpoints, demand, {}, planState, milliseconds(3300), at(60000))[plain]);
    CHECK_EQUAL(present, planServices(catalog, endpoints, demand, {}, planState, milliseconds(3300), at(62000))[plain]);
    CHECK_EQUAL(7, planState.wanted.at(other));
}

TEST(Plan, EndpointsAreNotReleasedWhileTheirVersionChanges)
{
    // The new version's endpoints were started beside the old ones, so the zone has twice as many as are needed. An order of
    // the needed number would release some of both, and after the change the new version could not carry the load.
    Fleet::endpoint_map endpoints;
    for (int number = 0; number < 12; ++number) {
        Fleet::endpoint item = makeEndpoint(number, number % 2 == 0);
        item.version = { number < 6 ? "v1" : "v2" };
        endpoints.emplace(item.id, item);
    }
    struct row {
        const char* condition;
        uint32_t wanted; ///< The zone has two plain and two reclaimable endpoints, and a maximum of eight.
        bool isReclaimable;
        bool isChanging;
        bool isOrdered;
    };
    const row rows[] = {
        { "fewer reclaimable", 1, true, true, false },
        { "fewer plain", 0, false, true, false },
        { "as many", 2, true, true, true },
        { "more", 4, true, true, true },
        { "as many as the maximum allows beside the other kind", 6, true, true, true },
        { "more than the maximum allows beside the other kind", 7, true, true, false },
        { "more than the maximum, no change of version", 7, true, false, true },
        { "fewer, no change of version", 0, false, false, true },
    };
    Catalog::catalog catalog;
    catalog.services[{ "s" }].scaling.emplace().max = 8;
    for (const row& item : rows) {
        const order_target target { { "s" }, { "a" }, item.isReclaimable };
        std::set<Common::service_name> changing;
        if (item.isChanging)
            changing.insert({ "s" });
        CHECK_EQUAL_TEXT(item.isOrdered, withoutReleases({ { target, item.wanted } }, catalog, endpoints, changing).contains(target), item.condition);
    }
}

TEST(Plan, OrdersAreRepeatedUntilConfirmedAndAfterALoss)
{
    order_tracker orders;
    const order_target target { { "s" }, { "a" }, true };
    const wanted_map wanted { { target, 2 } };
    CHECK(nextOrder(orders, wanted, at(0)).has_value());
    CHECK(!nextOrder(orders, wanted, at(0)).has_value());
    applyOutcome(orders, order_outcome::NoneAvailable, at(10));
    CHECK_EQUAL(1, exhaustedZones(orders, { "s" }, at(100)).size());
    CHECK(!nextOrder(orders, wanted, at(800)).has_value());
    CHECK(nextOrder(orders, wanted, at(2100)).has_value());
    applyOutcome(orders, order_outcome::Done, at(2110));
    CHECK(exhaustedZones(orders, { "s" }, at(2111)).empty());
    CHECK(!nextOrder(orders, wanted, at(5000)).has_value());
    recordEndpointLoss(orders, target, at(5001));
    CHECK(nextOrder(orders, wanted, at(5001)).has_value());
}

TEST_GROUP(Demand) {};

TEST(Demand, NodesThatReportRarelyCountUntilTheirNextReport)
{
    struct row {
        int intervalMs;
        int silentMs;
        bool counts;
    };
    const row rows[] = {
        { 250, 2000, true },
        { 250, 3000, false },
        // 295 nodes report every 3.5 s each; one report may be late.
        { 3500, 3600, true },
        { 3500, 6900, true },
        { 3500, 7100, false },
    };
    for (const row& item : rows) {
        demand_tracker tracker;
        recordDemand(tracker, { { "n" }, { "a" }, { { { "s" }, 1000 } }, milliseconds(item.intervalMs) }, at(0));
        CHECK_EQUAL(item.counts, demandByZone(tracker, { "s" }, at(item.silentMs)).contains({ "a" }));
    }
}

TEST(Demand, LargeSingleRequestsDoNotRaiseTheAverage)
{
    demand_tracker tracker;
    const auto report = [&tracker](int now, double engineMs) {
        recordDemand(tracker, { { "n" }, { "a" }, { { { "s" }, engineMs } }, milliseconds(250) }, at(now));
    };
    int now = 0;
    double sum = 0;
    int samples = 0;
    // One large request per second.
    for (; now < 20000; now += 250) {
        report(now, now % 1000 == 0 ? 500 : 0);
        if (now < 10000)
            continue;
        sum += demandByZone(tracker, { "s" }, at(now))[{ "a" }].value;
        ++samples;
    }
    DOUBLES_EQUAL(0.5, sum / samples, 0.05);
    for (const int end = now + 3000; now < end; now += 250)
        report(now, 500);
    CHECK(demandByZone(tracker, { "s" }, at(now))[{ "a" }].value > 1.3);
    CHECK(demandByZone(tracker, { "s" }, at(now + 10000)).empty());
}
