/// @file
/// Fleets of every size on a virtual clock, with requests that crash each endpoint that runs them.

#include "Quarantine/Tests/CrashDay.h"

#include <CppUTest/TestHarness.h>

using namespace CrashDays;

TEST_GROUP(CrashShapes) {};

TEST(CrashShapes, RequestsUnderWhichThreeEndpointsWentDownStopReachingThem)
{
    struct row {
        const char* condition;
        day_plan plan;
    };
    std::vector<row> rows;
    for (const size_t nodes : { 1, 7, 80, 300, 400 }) {
        rows.push_back({ "no restart", { .nodes = nodes, .tornShare = 0, .crashingPerSecond = 20, .soundPerSecond = 60 } });
        rows.push_back({ "half of the answers torn", { .nodes = nodes, .tornShare = 0.5, .crashingPerSecond = 20, .soundPerSecond = 60 } });
        rows.push_back({ "endpoints go down by themselves", { .nodes = nodes, .tornShare = 0, .crashingPerSecond = 5, .soundPerSecond = 60, .otherCrashesPerSecond = 1 } });
        rows.push_back({ "ten seconds into a stream", { .nodes = nodes, .tornShare = 0, .crashingPerSecond = 0.3, .soundPerSecond = 60, .crashAfterMs = 10000, .dayMs = 120000 } });
        rows.push_back({ "a minute into a stream", { .nodes = nodes, .tornShare = 0, .crashingPerSecond = 0.1, .soundPerSecond = 60, .crashAfterMs = 60000, .dayMs = 400000 } });
        rows.push_back({ "one node is started again", { .nodes = nodes, .tornShare = 0, .crashingPerSecond = 20, .soundPerSecond = 60, .restarted = restarted_nodes::One } });
        rows.push_back({ "half of the nodes are started again", { .nodes = nodes, .tornShare = 0, .crashingPerSecond = 20, .soundPerSecond = 60, .restarted = restarted_nodes::Half } });
        rows.push_back({ "all nodes are started again", { .nodes = nodes, .tornShare = 0, .crashingPerSecond = 20, .soundPerSecond = 60, .restarted = restarted_nodes::All } });
    }
    std::string problems;
    for (const row& item : rows) {
        const day_result result = crash_day(item.plan).play();
        if (result.causedCrashes < 3 || result.sentAfterThird > 3)
            problems += "\n" + std::to_string(item.plan.nodes) + " nodes, " + item.condition + ": " + std::to_string(result.causedCrashes) + " crashes, " + std::to_string(result.sentAfterThird) + " sent late";
    }
    STRCMP_EQUAL("", problems.c_str());
}

TEST(CrashShapes, PlainRequestsThatCrashNothingAreServedWhileEndpointsCrash)
{
    std::string problems;
    for (const size_t nodes : { 1, 7, 80, 300 }) {
        for (const double same : { 0.1, 0.5 }) {
            for (const double crashes : { 1, 3 }) {
                for (const double torn : { 0.0, 0.5 }) {
                    const day_result result = crash_day({ .nodes = nodes, .tornShare = torn, .crashingPerSecond = 0, .soundPerSecond = 100, .otherCrashesPerSecond = crashes, .isPlain = true, .sameRequestShare = same }).play();
                    if (result.soundArrived < 4000 || result.soundRefused * 1000 >= result.soundArrived)
                        problems += "\n" + std::to_string(nodes) + " nodes, same " + std::to_string(same) + ", crashes " + std::to_string(crashes) + ", torn " + std::to_string(torn) + ": " + std::to_string(result.soundRefused) + " of " + std::to_string(result.soundArrived) + " refused";
                }
            }
        }
    }
    STRCMP_EQUAL("", problems.c_str());
}
