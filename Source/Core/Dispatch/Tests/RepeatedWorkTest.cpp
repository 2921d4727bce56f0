/// @file
/// Model work that comes again after it has ended engines.

#include "Dispatch/Tests/BrokenWork.h"

#include <CppUTest/TestHarness.h>

using namespace BrokenWork;

TEST_GROUP(RepeatedWork) {};

TEST(RepeatedWork, ARequestUnderWhichThreeEnginesBrokeOffIsRefusedWhenItComesAgain)
{
    const char* body = R"({"messages":[{"role":"user","content":"a"}]})";
    dispatch_state state = makeState();
    const int first = countAttempts(state, "n2.1", body, 0, Http::transfer_end::Cut, 0);
    const int second = countAttempts(state, "n2.2", body, 0, Http::transfer_end::Cut, 25000);
    CHECK_EQUAL(3, first);
    CHECK_EQUAL(0, second);
}

TEST(RepeatedWork, ARequestUnderWhichEnginesBreakOffAfterSomeTokensIsBounded)
{
    dispatch_state state = makeState();
    const int attempts = countAttempts(state, "n2.1", R"({"messages":[{"role":"user","content":"a"}]})", 2, Http::transfer_end::Cut, 0);
    CHECK_TRUE(attempts <= engineCount);
}
