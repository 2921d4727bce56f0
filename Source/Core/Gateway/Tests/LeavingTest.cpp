/// @file
/// The phases of a leaving gateway.

#include "Gateway/Leaving.h"

#include <CppUTest/TestHarness.h>

using namespace Gateway;
using std::chrono::milliseconds;

TEST_GROUP(Leaving) {};

TEST(Leaving, AGatewayEndsOnlyWhenNothingIsInProgressOrItsTimeIsOver)
{
    struct row {
        const char* name;
        leaving_phase phase;
        remaining_work work;
        int elapsedMs;
        leaving_phase next;
    };
    const row rows[] = {
        { "idle, early", leaving_phase::Accepting, { 0, 0 }, 5900, leaving_phase::Accepting },
        { "busy, accepting is over", leaving_phase::Accepting, { 3, 5 }, 6000, leaving_phase::Refusing },
        { "busy, refusing", leaving_phase::Refusing, { 1, 5 }, 7400, leaving_phase::Refusing },
        { "requests ended", leaving_phase::Refusing, { 0, 5 }, 6100, leaving_phase::Closing },
        { "busy, no time left", leaving_phase::Refusing, { 1, 5 }, 7450, leaving_phase::Closing },
        { "connections open", leaving_phase::Closing, { 0, 1 }, 7600, leaving_phase::Closing },
        { "a request arrived late", leaving_phase::Closing, { 1, 1 }, 6200, leaving_phase::Closing },
        { "all closed", leaving_phase::Closing, { 0, 0 }, 6200, leaving_phase::Ended },
        { "connections open, no time left", leaving_phase::Closing, { 0, 1 }, 7700, leaving_phase::Ended },
        { "ended", leaving_phase::Ended, { 1, 1 }, 9000, leaving_phase::Ended },
    };
    for (const row& item : rows)
        STRCMP_EQUAL_TEXT(nameOf(item.next), nameOf(nextPhase(item.phase, item.work, milliseconds(item.elapsedMs), milliseconds(8000))), item.name);
}
