/// @file
/// Endpoints that fall over when they have to turn away more than some requests in a second, behind one or several gateways.

#include "Platform/GatewayFleet.h"

#include <algorithm>
#include <future>

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

/// From this time after an endpoint first said that it is brittle, it is spared.
constexpr milliseconds contactTime { 4000 };
constexpr milliseconds observed { 3000 };
constexpr milliseconds sampleInterval { 100 };
constexpr size_t samplesPerSecond = 10;
constexpr milliseconds requestInterval { 100 };
constexpr size_t callersPerNode = 4;
constexpr size_t parallelRows = 4;

std::string refusal(const std::string& rejections)
{
    return "HTTP/1.1 503 Busy\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Not-Executed: 1\r\nServer-Brittle: " + rejections + "\r\nContent-Length: 0\r\n\r\n";
}

std::string brittleAnswer(const std::string& rejections)
{
    return answerHead + "Server-Brittle: " + rejections + "\r\nContent-Length: 5\r\n\r\nhello";
}

struct row {
    const char* condition;
    const char* target;
    std::vector<scripted_answer> answers; ///< Of the brittle endpoint.
    size_t rejections; ///< It may turn away so many requests in a second.
    size_t nodes { 1 };
    size_t soundEndpoints { 0 };
};

struct row_result {
    size_t mostInSecond { 0 };
    size_t sent { 0 };
    size_t served { 0 };
};

void call(const gateway_fleet& fleet, size_t node, const row& item, std::chrono::steady_clock::time_point start, row_result& result)
{
    for (int number = 0; number * requestInterval < contactTime + observed; ++number) {
        std::this_thread::sleep_until(start + number * requestInterval);
        raw_caller caller(fleet.port(node));
        caller.send(makeRequest(item.target));
        ++result.sent;
        result.served += statusOf(caller.receive()) == 200 ? 1 : 0;
    }
}

row_result play(const row& item)
{
    std::vector<std::vector<scripted_answer>> scripts { item.answers };
    for (size_t number = 0; number < item.soundEndpoints; ++number)
        scripts.push_back({ { completeAnswer } });
    gateway_fleet fleet(item.nodes, scripts);
    const auto start = std::chrono::steady_clock::now();
    std::vector<row_result> results(item.nodes * callersPerNode);
    std::vector<std::future<void>> callers;
    for (size_t index = 0; index < results.size(); ++index)
        callers.push_back(std::async(std::launch::async, [&, index] { call(fleet, index / callersPerNode, item, start, results[index]); }));
    std::vector<size_t> arrived;
    for (int sample = 0; contactTime + sample * sampleInterval <= contactTime + observed; ++sample) {
        std::this_thread::sleep_until(start + contactTime + sample * sampleInterval);
        arrived.push_back(fleet.endpoints[0]->requests().size());
    }
    row_result sum;
    for (std::future<void>& item : callers)
        item.get();
    for (const row_result& result : results) {
        sum.sent += result.sent;
        sum.served += result.served;
    }
    for (size_t sample = samplesPerSecond; sample < arrived.size(); ++sample)
        sum.mostInSecond = std::max(sum.mostInSecond, arrived[sample] - arrived[sample - samplesPerSecond]);
    return sum;
}

} // namespace

TEST_GROUP(BrittleEndpoints) {};

TEST(BrittleEndpoints, AnEndpointTurnsAwayNoMoreRequestsInASecondThanItBears)
{
    const std::vector<row> rows = {
        { "idempotent", "/idem/x", { { refusal("5") } }, 5 },
        { "at most once", "/once/x", { { refusal("5") } }, 5 },
        { "a stream", "/stream/x", { { refusal("5") } }, 5 },
        { "a resumable stream", "/resume/x", { { refusal("2") } }, 2 },
        { "three nodes", "/idem/x", { { refusal("5") } }, 5, 3 },
        { "six nodes, fewer rejections than nodes", "/once/x", { { refusal("3") } }, 3, 6 },
        { "six nodes beside sound endpoints", "/idem/x", { { refusal("4") } }, 4, 6, 2 },
        { "told by an answer, six nodes", "/once/x", { { brittleAnswer("4") }, { brittleAnswer("4") }, { refusal("4") } }, 4, 6 },
    };
    std::string failed;
    for (size_t first = 0; first < rows.size(); first += parallelRows) {
        std::vector<std::future<row_result>> running;
        for (size_t index = first; index < std::min(first + parallelRows, rows.size()); ++index)
            running.push_back(std::async(std::launch::async, [&rows, index] { return play(rows[index]); }));
        for (size_t index = first; index < first + running.size(); ++index) {
            const row_result result = running[index - first].get();
            const bool isServed = rows[index].soundEndpoints == 0 || result.served == result.sent;
            if (result.mostInSecond > rows[index].rejections || !isServed)
                failed += std::string("\n") + rows[index].condition + ": " + std::to_string(result.mostInSecond) + " turned away in a second, " + std::to_string(result.served) + " of " + std::to_string(result.sent) + " served";
        }
    }
    STRCMP_EQUAL("", failed.c_str());
}

TEST(BrittleEndpoints, AnEndpointThatIsBrittleAndHasRoomIsUsed)
{
    const std::vector<row> rows = {
        { "one node", "/idem/x", { { brittleAnswer("4") } }, 4 },
        { "three nodes, streams", "/idem/x", { { brittleAnswer("2") } }, 2, 3 },
        { "an invalid number", "/idem/x", { { brittleAnswer("many") } }, 0 },
        { "a number beyond all bounds", "/idem/x", { { brittleAnswer("1e300") } }, 0 },
        { "no longer brittle", "/idem/x", { { brittleAnswer("1") }, { completeAnswer } }, 0 },
    };
    for (const row& item : rows) {
        const row_result result = play(item);
        CHECK_TEXT(result.served >= result.sent * 9 / 10, item.condition);
    }
}
