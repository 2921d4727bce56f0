/// @file
/// How evenly many nodes load the engines that they share, and how much they have read again, with and without estimates
/// from old reports and agreed holders of prompt parts.

#include "ChoiceDay.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

namespace {

using namespace ChoiceDays;

day_result play(const day_plan& plan)
{
    const day_result result = choice_day(plan).play();
    std::fprintf(stderr, "%s, %s: busiest over mean %.2f (worst second %.2f), read again %.2f, first event p99 %.0f ms, %zu refused\n", plan.condition, plan.statesPace ? "estimated" : "as before", result.meanBusiestOverMean, result.busiestOverMean, result.readAgainShare, result.firstEventP99Ms, result.refused);
    return result;
}

} // namespace

TEST_GROUP(EvenLoad) {};

// Guards against a change after which callers wait longer, or more is read again, than with least predicted time alone.
TEST(EvenLoad, EstimatesAndAgreedHoldersLeaveNobodyWorseOff)
{
    const day_plan rows[] = {
        { "1 node, 6 engines, 0.85", 1, 6, { 1 }, 0.85, true },
        { "6 nodes, 6 engines, 0.85", 6, 6, { 1 }, 0.85, true },
        { "6 nodes, 90 engines, 0.85", 6, 90, { 1 }, 0.85, true },
        { "60 nodes, 90 engines, 0.5", 60, 90, { 1 }, 0.5, true },
        { "60 nodes, 90 engines, 0.85", 60, 90, { 1 }, 0.85, true },
        { "60 nodes, 90 engines, uneven, 0.85", 60, 90, { 0.6, 1, 1.6 }, 0.85, true },
        { "60 nodes, 90 engines, 1.3", 60, 90, { 1 }, 1.3, true },
    };
    std::string failed;
    for (day_plan plan : rows) {
        const day_result after = play(plan);
        plan.statesPace = false;
        const day_result before = play(plan);
        if (after.readAgainShare > before.readAgainShare + 0.01 || after.firstEventP99Ms > before.firstEventP99Ms * 1.05 || after.refused > before.refused)
            failed += fmt::format("{}; ", plan.condition);
    }
    STRCMP_EQUAL("", failed.c_str());
}

TEST_GROUP(EvenLoadTargets) {};

// The targets of the operators' wish: 1.25 at 0.85 of the capacity with 60 nodes, and under a tenth read again.
TEST(EvenLoadTargets, SixtyNodesLoadNinetyEnginesEvenlyAndReadLittleAgain)
{
    const day_plan rows[] = {
        { "equal engines", 60, 90, { 1 }, 0.85, true },
        { "engines of 0.6 to 1.6", 60, 90, { 0.6, 1, 1.6 }, 0.85, true },
    };
    std::string failed;
    for (const day_plan& plan : rows) {
        const day_result result = play(plan);
        if (result.meanBusiestOverMean > 1.25 || result.readAgainShare > 0.1)
            failed += fmt::format("{}: busiest over mean {:.2f}, read again {:.2f}; ", plan.condition, result.meanBusiestOverMean, result.readAgainShare);
    }
    STRCMP_EQUAL("", failed.c_str());
}
