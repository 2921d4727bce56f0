/// @file
/// Requests of every kind that bring down each endpoint that runs them, between several gateways and scripted endpoints.

#include "Platform/GatewayFleet.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

/// Three endpoints that go down, and three requests that arrive until all nodes know it.
constexpr size_t maxArrivals = 6;
constexpr size_t endpointCount = 20;
constexpr int requestCount = 10;
constexpr milliseconds requestInterval { 250 };
constexpr int timeBudgetMs = 300;
constexpr int longTimeBudgetMs = 1400;

const std::string crashing = "c0ffee";
const std::string wholeStream = streamHead + chunk("id: 1\ndata: all\n\n") + "0\r\n\r\n";
const std::string begunStream = streamHead + chunk("id: 1\ndata: ");
const std::string streamWithEvent = streamHead + chunk("id: 1\ndata: a\n\n");
const std::string begunAnswer = answerHead + "Content-Length: 5\r\n\r\nhe";

enum class restart {
    None,
    One, ///< Of the nodes, after the requests have been recognised.
    All,
};

struct shape {
    const char* condition;
    const char* route;
    bool hasPrompt; ///< Only a shared part of its prompt is the same each time, otherwise path and body are.
    const char* body;
    std::string bytes; ///< What an endpoint sends before it ends.
    answer_end end;
    size_t nodes { 1 };
    restart restarted { restart::None };
};

std::string promptLines(const std::string& part, int number)
{
    return "X-Filbertreel-Model: m\r\nX-Filbertreel-Token-Counts: 950,20\r\nX-Filbertreel-Prompt-Prefix: 5c:800," + part + ":100," + std::to_string(1000 + number) + ":50\r\n";
}

/// @param name of the request's path, or of its shared prompt part.
std::string makeRequestOf(const shape& item, const std::string& name, int number)
{
    const std::string target = item.route + (item.hasPrompt ? "x" : name);
    const std::string body = item.hasPrompt ? std::to_string(number) : item.body;
    const int budget = item.end == answer_end::GoDownLate ? longTimeBudgetMs : timeBudgetMs;
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: id" + std::to_string(number) + "\r\nX-Filbertreel-Time-Budget: " + std::to_string(budget)
        + "\r\nAuthorization: Bearer k1\r\n" + (item.hasPrompt ? promptLines(name, number) : "") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string answerFrom(const gateway_fleet& fleet, size_t node, const std::string& request)
{
    raw_caller caller(fleet.port(node));
    caller.send(request);
    return caller.receive();
}

bool isStream(const shape& item)
{
    return std::string(item.route) == "/stream/" || std::string(item.route) == "/resume/";
}

std::vector<std::vector<scripted_answer>> scriptsFor(const shape& item)
{
    const scripted_answer sound { isStream(item) ? wholeStream : completeAnswer };
    return std::vector<std::vector<scripted_answer>>(endpointCount, { sound, { item.bytes, item.end, {}, crashing } });
}

/// Sends the crashing request again and again, at one node after the other.
/// @return the last answer.
std::string sendRepeatedly(gateway_fleet& fleet, const shape& item, int count)
{
    std::string last;
    for (int number = 0; number < count; ++number) {
        last = answerFrom(fleet, static_cast<size_t>(number) % item.nodes, makeRequestOf(item, crashing, number));
        fleet.sendListing();
        std::this_thread::sleep_for(requestInterval);
    }
    return last;
}

void restartNodes(gateway_fleet& fleet, const shape& item)
{
    if (item.restarted == restart::One)
        fleet.restart({ 0 });
    if (item.restarted != restart::All)
        return;
    std::vector<size_t> all;
    for (size_t node = 0; node < item.nodes; ++node)
        all.push_back(node);
    fleet.restart(all);
}

/// @return what was not as it must be; empty if all was.
std::string playShape(const shape& item)
{
    gateway_fleet fleet(item.nodes, scriptsFor(item));
    std::string problems;
    std::string last = sendRepeatedly(fleet, item, requestCount);
    const size_t arrived = fleet.arrivalsWith(crashing);
    if (arrived < 3 || arrived > maxArrivals)
        problems += " " + std::to_string(arrived) + " arrived;";
    if (item.restarted != restart::None) {
        restartNodes(fleet, item);
        last = sendRepeatedly(fleet, item, requestCount);
    }
    const size_t arrivedAgain = fleet.arrivalsWith(crashing) - arrived;
    if (arrivedAgain > 0)
        problems += " " + std::to_string(arrivedAgain) + " arrived after the restart;";
    if (statusOf(last) != 503 || last.find("Retry-After: ") == std::string::npos)
        problems += " the last got " + std::to_string(statusOf(last)) + ";";
    for (int number = 0; number < 6; ++number) {
        const int status = statusOf(answerFrom(fleet, static_cast<size_t>(number) % item.nodes, makeRequestOf(item, "5" + std::to_string(number), number)));
        if (status != 200)
            problems += " another got " + std::to_string(status) + ";";
    }
    return problems;
}

} // namespace

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
