/// @file
/// Attempts of model work that end without an answer.

#include "Dispatch/Tests/BrokenWork.h"

#include <CppUTest/TestHarness.h>

using namespace BrokenWork;

TEST_GROUP(ModelWork) {};

TEST(ModelWork, ARequestUnderWhichEnginesBreakOffIsNotSentToAllOfThem)
{
    struct row {
        const char* condition;
        size_t tokensEach;
        Http::transfer_end end;
        int atLeast;
        int atMost;
    };
    const row rows[] = {
        { "without a token", 0, Http::transfer_end::Cut, 3, 3 },
        { "after some tokens", 2, Http::transfer_end::Cut, 4, 1000 },
        { "never sent", 0, Http::transfer_end::NotSent, 4, 1000 },
    };
    for (const row& item : rows) {
        dispatch_state state = makeState();
        const int attempts = countAttempts(state, "n2.1", R"({"messages":[{"role":"user","content":"a"}]})", item.tokensEach, item.end, 0);
        CHECK_TEXT(attempts >= item.atLeast && attempts <= item.atMost, (std::string(item.condition) + ": " + std::to_string(attempts)).c_str());
    }
}
