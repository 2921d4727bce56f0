/// @file
/// Leaving endpoints: every source alone is enough, and no lagging source takes the mark back.

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

cloud_list listOf(const std::vector<instance_info>& instances)
{
    return { instances };
}

} // namespace

TEST_GROUP(EndpointTable) {};

TEST(EndpointTable, OneSourceIsEnoughAndTheLaggingListDoesNotTakeItBack)
{
    const std::vector<table_message> sources {
        listOf({ makeInstance("a", true), makeInstance("b") }),
        own_load { { { "a" }, 0, 0, true } },
        leaving_notice { { "a" }, leaving_source::Peer },
    };
    for (const table_message& source : sources) {
        endpoint_table table;
        stepEndpoints(table, listOf({ makeInstance("a"), makeInstance("b") }), testStart);
        stepEndpoints(table, table_message(source), testStart);
        LONGS_EQUAL(1, listUsable(table, testStart)->size());
        stepEndpoints(table, listOf({ makeInstance("a"), makeInstance("b") }), testStart);
        LONGS_EQUAL(1, listUsable(table, testStart)->size());
    }
}

TEST(EndpointTable, ANoticeAheadOfTheListAndAGapInTheListAreRemembered)
{
    endpoint_table table;
    stepEndpoints(table, leaving_notice { { "a" }, leaving_source::Peer }, testStart);
    stepEndpoints(table, listOf({ makeInstance("a") }), testStart);
    LONGS_EQUAL(0, listUsable(table, testStart)->size());
    stepEndpoints(table, listOf({}), testStart);
    stepEndpoints(table, listOf({ makeInstance("a") }), testStart);
    LONGS_EQUAL(0, listUsable(table, testStart)->size());
}

TEST(EndpointTable, ARefusedConnectionIsForgottenAfterAWhile)
{
    endpoint_table table;
    stepEndpoints(table, listOf({ makeInstance("a") }), testStart);
    stepEndpoints(table, leaving_notice { { "a" }, leaving_source::RefusedConnection }, testStart);
    LONGS_EQUAL(0, listUsable(table, testStart)->size());
    LONGS_EQUAL(1, listUsable(table, testStart + unreachablePeriod)->size());
}

TEST(EndpointTable, PeersAreToldOnce)
{
    endpoint_table table;
    stepEndpoints(table, listOf({ makeInstance("a") }), testStart);
    LONGS_EQUAL(2, stepEndpoints(table, leaving_notice { { "a" }, leaving_source::Peer }, testStart).size());
    LONGS_EQUAL(0, stepEndpoints(table, leaving_notice { { "a" }, leaving_source::Peer }, testStart).size());
}

TEST(EndpointTable, NonsenseFromTheCloudIsAnError)
{
    struct row {
        const char* body;
        bool isRead;
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
        CHECK_EQUAL(item.isRead, parsed.has_value());
        if (parsed)
            LONGS_EQUAL(item.instances, parsed->size());
    }
}
