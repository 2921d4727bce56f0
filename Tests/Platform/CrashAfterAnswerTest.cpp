/// @file
/// Requests that are answered whole before they bring down the endpoint.

#include "Platform/CrashShape.h"

#include <CppUTest/TestHarness.h>

using namespace PlatformTests;

TEST_GROUP(CrashAfterAnswer) {};

TEST(CrashAfterAnswer, RequestsThatBringEndpointsDownRightAfterTheirAnswerStopReachingThem)
{
    STRCMP_EQUAL("", playShape({ "idempotent, a whole answer", "/idem/", false, "body", completeAnswer, answer_end::GoDown }).c_str());
}
