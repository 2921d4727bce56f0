/// @file
/// The table of endpoints: a report from any source marks an endpoint as leaving, and no lagging source undoes it; new
/// instances, sharding of the polling, and decoding of the cloud's list.

#include "Endpoints/EndpointTable.h"
#include "Endpoints/CloudCodec.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Endpoints;

const Common::instant testStart = Common::instant {} + std::chrono::hours(1);

instance_info makeInstance(const std::string& id, bool isLeaving = false)
{
    instance_info info;
    info.id = { id };
    info.isLeaving = isLeaving;
    return info;
}

cloud_list makeList(const std::vector<instance_info>& instances)
{
    return { instances };
}

} // namespace

TEST_GROUP(EndpointTable) {};

TEST(EndpointTable, AnySourceMarksAnEndpointLeavingAndALaggingListDoesNotUndoIt)
{
    const std::vector<table_message> sources {
        makeList({ makeInstance("a", true), makeInstance("b") }),
        polled_load { { { "a" }, 0, 0, true } },
        leaving_notice { { "a" }, leaving_source::Peer },
    };
    for (const table_message& source : sources) {
        endpoint_table table;
        stepEndpoints(table, makeList({ makeInstance("a"), makeInstance("b") }), testStart);
        stepEndpoints(table, table_message(source), testStart);
        LONGS_EQUAL(1, listUsable(table, testStart)->size());
        stepEndpoints(table, makeList({ makeInstance("a"), makeInstance("b") }), testStart);
        LONGS_EQUAL(1, listUsable(table, testStart)->size());
    }
}

TEST(EndpointTable, ALeavingMarkMayPrecedeTheListAndSurvivesAGapInIt)
{
    endpoint_table table;
    stepEndpoints(table, leaving_notice { { "a" }, leaving_source::Peer }, testStart);
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart);
    LONGS_EQUAL(0, listUsable(table, testStart)->size());
    stepEndpoints(table, makeList({}), testStart);
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart);
    LONGS_EQUAL(0, listUsable(table, testStart)->size());
}

TEST(EndpointTable, ARefusedConnectionExcludesAnEndpointForALimitedTime)
{
    endpoint_table table;
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart);
    stepEndpoints(table, leaving_notice { { "a" }, leaving_source::RefusedConnection }, testStart);
    LONGS_EQUAL(0, listUsable(table, testStart)->size());
    LONGS_EQUAL(1, listUsable(table, testStart + unreachablePeriod)->size());
}

TEST(EndpointTable, ALeavingNoticeIsBroadcastOnce)
{
    endpoint_table table;
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart);
    LONGS_EQUAL(2, stepEndpoints(table, leaving_notice { { "a" }, leaving_source::Peer }, testStart).size());
    LONGS_EQUAL(0, stepEndpoints(table, leaving_notice { { "a" }, leaving_source::Peer }, testStart).size());
}

TEST(EndpointTable, ANewInstanceIsBroadcastAndKeptWhileTheListLags)
{
    endpoint_table table;
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart);
    const auto first = stepEndpoints(table, instances_received { { makeInstance("b") } }, testStart);
    CHECK(std::holds_alternative<broadcast_instances>(first.front()));
    LONGS_EQUAL(0, stepEndpoints(table, instances_received { { makeInstance("b") } }, testStart).size());
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart);
    LONGS_EQUAL(2, listUsable(table, testStart)->size());
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart + listLagAllowance);
    LONGS_EQUAL(1, listUsable(table, testStart + listLagAllowance)->size());
}

TEST(EndpointTable, EachEndpointIsPolledByOneNodeAndUsedByASubset)
{
    struct row {
        size_t endpoints;
        size_t minUsed;
        size_t maxUsed;
    };
    const row rows[] = { { 15, 15, 15 }, { 200, 200, 200 }, { 1500, 140, 260 } };
    for (const row& item : rows) {
        std::vector<instance_info> instances;
        for (size_t index = 0; index < item.endpoints; ++index)
            instances.push_back(makeInstance("e" + std::to_string(index)));
        std::vector<poller> pollers;
        for (int node = 0; node < 7; ++node)
            pollers.push_back({ { "n" + std::to_string(node) }, {} });
        size_t polled = 0;
        for (const poller& node : pollers) {
            endpoint_table table;
            table.self = node;
            stepEndpoints(table, makeList(instances), testStart);
            stepEndpoints(table, pollers_changed { pollers }, testStart);
            polled += listPolledHere(table).size();
            const size_t used = listUsable(table, testStart)->size();
            CHECK(used >= item.minUsed && used <= item.maxUsed);
        }
        LONGS_EQUAL(item.endpoints, polled);
    }
}

TEST(EndpointTable, IntervalsGrowWithTheFleet)
{
    struct row {
        size_t count;
        int expected;
    };
    const row rows[] = { { 0, 500 }, { 8, 500 }, { 12, 750 }, { 32, 2000 } };
    for (const row& item : rows)
        LONGS_EQUAL(item.expected, stretchInterval(std::chrono::milliseconds(500), item.count, pollsPerInterval).count());
}

TEST(EndpointTable, APollerSendsTheLoadToTheNodesThatUseTheEndpoint)
{
    endpoint_table table;
    table.self = { { "n0" }, {} };
    stepEndpoints(table, makeList({ makeInstance("a") }), testStart);
    stepEndpoints(table, pollers_changed { { { { "n0" }, {} }, { { "n1" }, {} }, { { "n2" }, {} } } }, testStart);
    LONGS_EQUAL(3, stepEndpoints(table, polled_load { { { "a" }, 1, 0, false } }, testStart).size());
}

TEST(EndpointTable, AMalformedListIsAnErrorAndMalformedInstancesAreSkipped)
{
    struct row {
        const char* body;
        bool isParsed;
        size_t instances;
    };
    const row rows[] = {
        { R"({"instances":[{"id":"a","role":"engine","address":"1.2.3.4:5"}]})", true, 1 },
        { R"({"instances":[{"id":"a"},{"role":"engine"},7]})", true, 0 },
        { R"({"instances":7})", false, 0 },
        { "<html>", false, 0 },
    };
    for (const row& item : rows) {
        const auto parsed = parseInstances(item.body);
        CHECK_EQUAL(item.isParsed, parsed.has_value());
        if (parsed)
            LONGS_EQUAL(item.instances, parsed->size());
    }
}
