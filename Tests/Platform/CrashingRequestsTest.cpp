/// @file
/// Requests of every kind that bring down each endpoint that runs them, between several gateways and scripted endpoints.

#include "Platform/CrashShape.h"

#include <CppUTest/TestHarness.h>

using namespace PlatformTests;

TEST_GROUP(CrashingRequests) {};

TEST(CrashingRequests, RequestsUnderWhichThreeEndpointsWentDownStopReachingThem)
{
    const shape shapes[] = {
        { "idempotent, no byte", "/idem/", false, "", "", answer_end::GoDown },
        { "idempotent with a body, no byte", "/idem/", false, "body", "", answer_end::GoDown },
        { "idempotent, reset without a byte", "/idem/", false, "body", "", answer_end::GoDownWithReset },
        { "idempotent, after the head", "/idem/", false, "body", begunAnswer, answer_end::GoDown },
        { "idempotent, a failure as a whole answer", "/idem/", false, "body", failedAnswer, answer_end::GoDown },
        { "idempotent, the endpoint falls silent", "/idem/", false, "body", "", answer_end::GoSilent },
        { "idempotent, the endpoint is started again at once", "/idem/", false, "body", "", answer_end::Restart },
        { "idempotent, a second after the head", "/idem/", false, "body", begunAnswer, answer_end::GoDownLate },
        { "idempotent with prompt parts, no byte", "/idem/", true, "", "", answer_end::GoDown },
        { "at most once, no byte", "/once/", false, "body", "", answer_end::GoDown },
        { "at most once, reset without a byte", "/once/", false, "", "", answer_end::GoDownWithReset },
        { "at most once, after the head", "/once/", false, "body", begunAnswer, answer_end::GoDown },
        { "at most once, the endpoint falls silent", "/once/", false, "body", "", answer_end::GoSilent },
        { "at most once, a failure as a whole answer", "/once/", false, "body", failedAnswer, answer_end::GoDown },
        { "stream, no byte", "/stream/", false, "body", "", answer_end::GoDown },
        { "stream, inside an event", "/stream/", false, "body", begunStream, answer_end::GoDown },
        { "stream with prompt parts, no byte", "/stream/", true, "", "", answer_end::GoDown },
        { "stream with prompt parts, after an event", "/stream/", true, "", streamWithEvent, answer_end::GoDown },
        { "stream, the endpoint falls silent after an event", "/stream/", false, "body", streamWithEvent, answer_end::GoSilent },
        { "resumable stream, no byte", "/resume/", false, "body", "", answer_end::GoDown },
        { "resumable stream, after an event", "/resume/", false, "body", streamWithEvent, answer_end::GoDown },
        { "resumable stream, a second after an event", "/resume/", false, "body", streamWithEvent, answer_end::GoDownLate },
        { "resumable stream with prompt parts, no byte", "/resume/", true, "", "", answer_end::GoDown },
        { "resumable stream with prompt parts, inside an event", "/resume/", true, "", begunStream, answer_end::GoDownWithReset },
        { "resumable stream with prompt parts, the endpoint falls silent", "/resume/", true, "", "", answer_end::GoSilent },
        { "three nodes, idempotent, no byte", "/idem/", false, "body", "", answer_end::GoDown, 3 },
        { "three nodes, at most once, after the head", "/once/", false, "body", begunAnswer, answer_end::GoDown, 3 },
        { "three nodes, resumable stream with prompt parts, no byte", "/resume/", true, "", "", answer_end::GoDown, 3 },
        { "three nodes, idempotent, the endpoint falls silent", "/idem/", false, "body", "", answer_end::GoSilent, 3 },
        { "three nodes, one is started again", "/idem/", false, "body", "", answer_end::GoDown, 3, restart::One },
        { "three nodes, all are started again", "/idem/", false, "body", "", answer_end::GoDown, 3, restart::All },
        { "one node, started again, with prompt parts", "/resume/", true, "", begunStream, answer_end::GoDown, 1, restart::All },
    };
    std::string problems;
    for (const shape& item : shapes) {
        const std::string found = playShape(item);
        if (!found.empty())
            problems += std::string("\n") + item.condition + ":" + found;
    }
    STRCMP_EQUAL("", problems.c_str());
}

TEST(CrashingRequests, ARequestThatWaitsAtAnEndpointIsCalledBackOnceItIsQuarantined)
{
    struct row {
        const char* condition;
        const char* route;
        int status;
    };
    const row rows[] = {
        { "idempotent", "/idem/", 503 },
        { "at most once", "/once/", 502 },
        { "resumable stream", "/resume/", 503 },
    };
    for (const row& item : rows) {
        const shape crashes { item.condition, item.route, false, "body", "", answer_end::GoDown };
        std::vector<std::vector<scripted_answer>> scripts = scriptsFor(crashes);
        scripts[0] = { { "", answer_end::Wait } };
        gateway_fleet fleet(1, scripts);
        fleet.listedCount = 1;
        fleet.sendListing();
        std::this_thread::sleep_for(requestInterval);
        raw_caller waiting(fleet.port(0));
        waiting.send(makeRequestOf({ item.condition, item.route, false, "body", "", answer_end::GoDownLate }, crashing, 0));
        while (fleet.endpoints[0]->requests().empty())
            std::this_thread::sleep_for(milliseconds(10));
        fleet.listedCount = endpointCount;
        fleet.sendListing();
        for (int number = 1; number <= 4; ++number)
            answerFrom(fleet, 0, makeRequestOf(crashes, crashing, number));
        const std::string answer = waiting.receive();
        CHECK_EQUAL_TEXT(item.status, statusOf(answer), item.condition);
        CHECK_TEXT(answer.find("request_quarantined") != std::string::npos, item.condition);
    }
}
