/// @file
/// Endpoints that state how many requests per second they take from all nodes together, behind one or several gateways.

#include "Platform/GatewayFleet.h"

#include <algorithm>
#include <future>

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

/// From this time after an endpoint first stated its limit, the limit holds.
constexpr milliseconds contactTime { 4000 };
constexpr milliseconds window { 4000 };
constexpr milliseconds requestInterval { 40 };
/// Rows that run at the same time; each takes as long as the limit's two periods.
constexpr size_t parallelRows = 8;

const std::string wholeStream = chunk("id: 1\ndata: all\n\n") + "0\r\n\r\n";

/// @return a head with a status, and the endpoint's limit as it is sent.
std::string headWith(const std::string& statusLine, const std::string& limit)
{
    return "HTTP/1.1 " + statusLine + "\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\n" + (limit.empty() ? "" : "Server-Limit: " + limit + "\r\n");
}

std::string answerWith(const std::string& limit, const std::string& statusLine = "200 OK")
{
    return headWith(statusLine, limit) + "Content-Length: 5\r\n\r\nhello";
}

std::string streamWith(const std::string& limit)
{
    return headWith("200 OK", limit) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + wholeStream;
}

std::string refusalWith(const std::string& limit)
{
    return "HTTP/1.1 503 Busy\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Not-Executed: 1\r\nServer-Limit: " + limit + "\r\nContent-Length: 0\r\n\r\n";
}

struct row {
    const char* condition;
    const char* target;
    std::vector<scripted_answer> answers; ///< Of the endpoint that states a limit.
    double limit; ///< Requests per second that it takes; zero if nothing is limited.
    size_t nodes { 1 };
    size_t soundEndpoints { 0 };
    bool isStream { false };
};

struct row_result {
    size_t arrived { 0 }; ///< At the endpoint, in the window after contactTime.
    size_t sent { 0 }; ///< By the callers, in that window.
    size_t served { 0 }; ///< Of those.
};

row_result play(const row& item)
{
    std::vector<std::vector<scripted_answer>> scripts { item.answers };
    for (size_t number = 0; number < item.soundEndpoints; ++number)
        scripts.push_back({ { item.isStream ? streamWith("") : completeAnswer } });
    gateway_fleet fleet(item.nodes, scripts);
    row_result result;
    size_t arrivedBefore = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int number = 0; number * requestInterval < contactTime + window; ++number) {
        std::this_thread::sleep_until(start + number * requestInterval);
        const bool isInWindow = number * requestInterval >= contactTime;
        if (!isInWindow)
            arrivedBefore = fleet.endpoints[0]->requests().size();
        raw_caller caller(fleet.port(static_cast<size_t>(number) % item.nodes));
        caller.send(makeRequest(item.target));
        const bool isServed = statusOf(caller.receive()) == 200;
        result.sent += isInWindow ? 1 : 0;
        result.served += isInWindow && isServed ? 1 : 0;
    }
    result.arrived = fleet.endpoints[0]->requests().size() - arrivedBefore;
    return result;
}

/// Plays all rows, some at a time.
std::vector<row_result> playAll(const std::vector<row>& rows)
{
    std::vector<row_result> results(rows.size());
    for (size_t first = 0; first < rows.size(); first += parallelRows) {
        std::vector<std::future<void>> running;
        for (size_t index = first; index < std::min(first + parallelRows, rows.size()); ++index)
            running.push_back(std::async(std::launch::async, [&, index] { results[index] = play(rows[index]); }));
        for (std::future<void>& item : running)
            item.get();
    }
    return results;
}

double allowedInWindow(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>(window).count() + 5;
}

std::string describe(const row& item, const row_result& result)
{
    return std::string("\n") + item.condition + ": " + std::to_string(result.arrived) + " arrived, " + std::to_string(result.served) + " of " + std::to_string(result.sent) + " served";
}

} // namespace

TEST_GROUP(EndpointLimits) {};

TEST(EndpointLimits, AnEndpointGetsNoMoreThanTheLimitThatItStates)
{
    const std::vector<row> rows = {
        { "a success, half a request a second", "/idem/x", { { answerWith("0.5") } }, 0.5 },
        { "a success, one a second", "/once/x", { { answerWith("1") } }, 1 },
        { "a success, with a fraction", "/idem/x", { { answerWith("2.5") } }, 2.5 },
        { "another spelling of the name", "/idem/x", { { answerHead + "server-limit:1\r\nContent-Length: 5\r\n\r\nhello" } }, 1 },
        { "an error", "/once/x", { { answerWith("1", "500 Oops") } }, 1 },
        { "an error, sent again", "/idem/x", { { answerWith("1", "500 Oops") } }, 1, 1, 1 },
        { "an error of the caller's", "/once/x", { { answerWith("1", "404 Not Found") } }, 1 },
        { "a refusal", "/once/x", { { refusalWith("1") } }, 1 },
        { "a refusal beside sound endpoints", "/idem/x", { { refusalWith("1") } }, 1, 1, 2 },
        { "the head of a stream", "/stream/x", { { streamWith("1") } }, 1 },
        { "the head of a resumable stream", "/resume/x", { { streamWith("2") } }, 2 },
        { "a response that breaks off", "/once/x", { { headWith("200 OK", "1") + "Content-Length: 9\r\n\r\nhello", answer_end::Close } }, 1 },
        { "a stream that breaks off and is resumed", "/resume/x", { { headWith("200 OK", "1") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n"), answer_end::Close } }, 1, 1, 1, true },
        { "beside two sound endpoints", "/idem/x", { { answerWith("1") } }, 1, 1, 2 },
        { "lowered", "/idem/x", { { answerWith("50") }, { answerWith("50") }, { answerWith("0.5") } }, 0.5 },
        { "a refusal that doesn't repeat it", "/idem/x", { { answerWith("1") }, { notExecutedAnswer } }, 1 },
        { "three nodes", "/idem/x", { { answerWith("1") } }, 1, 3 },
        { "three nodes beside sound endpoints", "/once/x", { { answerWith("1") } }, 1, 3, 2 },
        { "six nodes, a larger limit", "/idem/x", { { answerWith("4") } }, 4, 6 },
        { "six nodes, streams", "/stream/x", { { streamWith("1") } }, 1, 6, 1, true },
    };
    const std::vector<row_result> results = playAll(rows);
    std::string failed;
    for (size_t index = 0; index < rows.size(); ++index) {
        const bool isWithinLimit = static_cast<double>(results[index].arrived) <= allowedInWindow(rows[index].limit);
        const bool isServed = rows[index].soundEndpoints == 0 || results[index].served == results[index].sent;
        const bool isUsed = rows[index].soundEndpoints > 0 || results[index].arrived > 0;
        if (!isWithinLimit || !isUsed || !isServed)
            failed += describe(rows[index], results[index]);
    }
    STRCMP_EQUAL("", failed.c_str());
}

TEST(EndpointLimits, AnEndpointWithoutAValidLimitGetsAllRequests)
{
    const std::vector<row> rows = {
        { "no limit", "/idem/x", { { completeAnswer } }, 0 },
        { "text", "/idem/x", { { answerWith("abc") } }, 0 },
        { "negative", "/idem/x", { { answerWith("-3") } }, 0 },
        { "not a number", "/idem/x", { { answerWith("nan") } }, 0 },
        { "infinite", "/idem/x", { { answerWith("inf") } }, 0 },
        { "a number and text", "/idem/x", { { answerWith("1 per second") } }, 0 },
        { "twice", "/idem/x", { { answerWith("1\r\nServer-Limit: 2") } }, 0 },
        { "larger than a number holds", "/idem/x", { { answerWith("1e999") } }, 0 },
        { "larger than the demand", "/idem/x", { { answerWith("1000") } }, 0, 3 },
        { "withdrawn", "/idem/x", { { answerWith("1") }, { answerWith("1") }, { completeAnswer } }, 0 },
        { "withdrawn at one of three nodes", "/idem/x", { { answerWith("2") }, { answerWith("2") }, { completeAnswer } }, 0, 3 },
        { "raised", "/idem/x", { { answerWith("1") }, { answerWith("1") }, { answerWith("1000") } }, 0 },
        { "another endpoint at the address", "/idem/x", { { "HTTP/1.1 421 Misdirected\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Not-Executed: 1\r\nServer-Limit: 1\r\nContent-Length: 0\r\n\r\n" }, { completeAnswer } }, 0 },
        { "a response to another request", "/idem/x", { { "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: other\r\nX-Filbertreel-Server-Seal: s.1\r\nServer-Limit: 1\r\nContent-Length: 5\r\n\r\nhello" }, { completeAnswer } }, 0 },
    };
    const std::vector<row_result> results = playAll(rows);
    std::string failed;
    for (size_t index = 0; index < rows.size(); ++index) {
        if (results[index].served < results[index].sent * 9 / 10)
            failed += describe(rows[index], results[index]);
    }
    STRCMP_EQUAL("", failed.c_str());
}
