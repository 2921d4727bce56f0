/// @file
/// Many nodes that send to an endpoint with a large limit. Listed alone in KNOWN-RED.txt.

#include "LimitDay.h"

#include <CppUTest/TestHarness.h>

using namespace LimitDays;

TEST_GROUP(LargeLimit) {};

TEST(LargeLimit, ManyNodesExchangeTooManyMessagesForALargeLimit)
{
    const day_plan rows[] = {
        { "300 nodes, 200 a second", 300, 3, 200, 2 },
        { "300 nodes, 1000 a second", 300, 3, 1000, 1.5 },
    };
    std::string failed;
    for (const day_plan& plan : rows)
        failed += findFailure(plan);
    STRCMP_EQUAL("", failed.c_str());
}
