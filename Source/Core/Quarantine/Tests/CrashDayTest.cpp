/// @file
/// Days on a virtual clock on which requests with one prompt part crash every endpoint that begins to answer them.

#include "Quarantine/Tests/CrashDay.h"

#include <CppUTest/TestHarness.h>

using namespace CrashDays;

TEST_GROUP(CrashDay) {};

TEST(CrashDay, RequestsThatCrashEndpointsStopAndSoundOnesKeepTheirRate)
{
    const day_plan plans[] = { { 1, 0, 20, 60 }, { 7, 0, 20, 60 }, { 80, 0, 20, 60 }, { 300, 0, 20, 60 }, { 7, 0.5, 20, 60 }, { 80, 0.5, 20, 60 }, { 7, 0, 2, 60 } };
    for (const day_plan& plan : plans) {
        const std::string condition = std::to_string(plan.nodes) + " nodes, torn " + std::to_string(plan.tornShare) + ", crashing " + std::to_string(plan.crashingPerSecond);
        const day_result result = crash_day(plan).play();
        CHECK_TEXT(result.crashes >= 3, condition.c_str());
        CHECK_TEXT(result.sentLate <= 3, condition.c_str());
        CHECK_EQUAL_TEXT(0, result.quarantinedSoundParts, condition.c_str());
        if (result.crashes < 5)
            continue;
        const double rateBefore = result.soundBefore / double { crashStartMs };
        const double rateAfter = result.soundAfter / double(plan.dayMs - result.fifthCrashMs - 2 * contactMs);
        CHECK_TEXT(rateAfter >= rateBefore / 2, condition.c_str());
    }
}

TEST(CrashDay, NothingIsQuarantinedWhileEndpointsTearAnswersButStayUp)
{
    for (const size_t nodes : { 1, 7, 80 }) {
        crash_day day({ nodes, 0.5, 0, 60 });
        const day_result result = day.play();
        CHECK_EQUAL(0, result.quarantinedSoundParts);
        for (const quarantine_state& node : day.nodes)
            CHECK_EQUAL(0U, node.suspects.size());
    }
}

TEST(CrashDay, SoundRequestsAreServedWhileEndpointsCrashForOtherReasons)
{
    struct row {
        day_plan plan;
        bool mayQuarantine; ///< Most requests break off, so a rare part may look like a guilty one.
    };
    const row rows[] = {
        { { 1, 0, 0, 60, 1, 40 }, false },
        { { 7, 0, 0, 60, 0.5, 400 }, false },
        { { 80, 0, 0, 60, 1, 400 }, false },
        { { 300, 0, 0, 60, 1, 400 }, false },
        { { 7, 0.5, 0, 60, 1, 400 }, true },
        { { 7, 0, 0, 60, 2, 400 }, true },
        { { 80, 0, 0, 60, 2, 400 }, true },
    };
    for (const row& item : rows) {
        const std::string condition = std::to_string(item.plan.nodes) + " nodes, torn " + std::to_string(item.plan.tornShare) + ", crashes per second " + std::to_string(item.plan.otherCrashesPerSecond);
        const day_result result = crash_day(item.plan).play();
        CHECK_TEXT(result.crashes > endpointCount, condition.c_str());
        CHECK_TEXT(item.mayQuarantine || result.quarantinedSoundParts == 0, condition.c_str());
        CHECK_TEXT(result.soundRefused * 2 <= result.soundArrived, condition.c_str());
    }
}
