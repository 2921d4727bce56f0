/// @file
/// Requests with a prompt part under which every endpoint goes down, between scripted callers and endpoints.

#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

const std::string wholeStream = streamHead + chunk("id: 1\ndata: all\n\n") + "0\r\n\r\n";
const std::string begunStream = streamHead + chunk("id: 1\ndata: ");

std::string makePromptRequest(const std::string& sharedParts, int number)
{
    const std::string prompt = sharedParts + "," + std::to_string(1000 + number) + ":50";
    return makeRequest("/resume/x", "X-Filbertreel-Model: m\r\nX-Filbertreel-Token-Counts: 950,20\r\nX-Filbertreel-Prompt-Prefix: " + prompt + "\r\n");
}

std::string answerTo(const running_gateway& gateway, const std::string& request)
{
    raw_caller caller(gateway.port);
    caller.send(request);
    return caller.receive();
}

size_t countRequestsWith(const running_gateway& gateway, const std::string& text)
{
    size_t count = 0;
    for (const auto& endpoint : gateway.endpoints) {
        for (const std::string& request : endpoint->requests())
            count += request.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_GROUP(PromptQuarantine) {};

TEST(PromptQuarantine, RequestsWithAPartThatCrashesEndpointsStopReachingThem)
{
    constexpr size_t endpointCount = 16;
    constexpr size_t maxCrashes = 5;
    constexpr int requestCount = 12;
    const std::string crashingPart = "bad0:100";
    const std::vector<scripted_answer> script { { wholeStream }, { begunStream, answer_end::GoDown, {}, crashingPart } };
    running_gateway gateway(std::vector<std::vector<scripted_answer>>(endpointCount, script));
    std::string last;
    for (int number = 0; number < requestCount; ++number) {
        last = answerTo(gateway, makePromptRequest("5c:800," + crashingPart, number));
        std::this_thread::sleep_for(milliseconds(300));
    }
    CHECK_TRUE(countRequestsWith(gateway, crashingPart) <= maxCrashes);
    CHECK_EQUAL(503, statusOf(last));
    CHECK_TRUE(last.find("Retry-After: ") != std::string::npos);
    gateway.sendListing();
    for (int number = 0; number < requestCount; ++number)
        CHECK_EQUAL(200, statusOf(answerTo(gateway, makePromptRequest("5c:800,60:100", number))));
}

TEST(PromptQuarantine, RequestsAreStillTriedOnEndpointsThatBreakOffAnswersButStayUp)
{
    const scripted_answer torn { begunStream, answer_end::Close };
    const scripted_answer whole { wholeStream };
    struct row {
        const char* condition;
        std::vector<scripted_answer> script;
    };
    const row rows[] = {
        { "every second answer", { torn, whole, torn, whole, torn, whole, torn, whole, torn, whole, torn, whole } },
        { "the first answers", { torn, torn, torn, torn, torn, torn, whole } },
        { "all answers", { torn } },
    };
    for (const row& item : rows) {
        running_gateway gateway({ item.script, item.script });
        for (int number = 0; number < 10; ++number) {
            const size_t before = gateway.arrivals();
            const std::string answer = answerTo(gateway, makePromptRequest("5c:800,60:100", number));
            CHECK_TEXT(gateway.arrivals() > before, item.condition);
            CHECK_TEXT(statusOf(answer) != 503, item.condition);
            std::this_thread::sleep_for(milliseconds(150));
        }
    }
}
