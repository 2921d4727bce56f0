/// @file
/// Nodes that have lost their paths to all endpoints, while their callers and the other nodes still reach them.

#include "Platform/CutLink.h"
#include "Platform/GatewayFleet.h"

#include <future>

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

constexpr milliseconds cutAfter { 1000 };
/// From this time after the cut began, callers of cut nodes are served.
constexpr milliseconds contactTime { 4000 };
constexpr milliseconds observed { 3000 };
constexpr milliseconds requestInterval { 150 };
constexpr size_t endpointCount = 3;
constexpr size_t parallelRows = 6;
/// First tries at cut nodes are served this often, compared to those at the others, and this share of all may fail.
constexpr double minRelativeService = 0.9;
constexpr double maxFailedShare = 0.02;

const std::string wholeStream = streamHead + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";

struct row {
    const char* condition;
    std::vector<const char*> targets; ///< Of the requests, in turn.
    path_state state;
    size_t nodes;
    size_t cutNodes;
    size_t cutEndpoints { endpointCount };
    milliseconds soundTime { 0 }; ///< If set, the paths come back for this time again and again, and are away as long.
};

struct node_counts {
    size_t sent { 0 };
    size_t served { 0 };
};

struct row_result {
    node_counts cut;
    node_counts others;
    size_t ranTwice { 0 }; ///< Requests that may run once and ran more often.
};

std::string requestFor(const std::string& target, const std::string& id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: " + id + "\r\nX-Filbertreel-Time-Budget: 1200\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody";
}

bool isServed(const std::string& target, const std::string& answer)
{
    const bool isWhole = target.starts_with("/stream") || target.starts_with("/resume") ? answer.find("data: b") != std::string::npos && isComplete(answer) : isComplete(answer);
    return statusOf(answer) == 200 && isWhole;
}

/// Paths from the cut nodes to the endpoints; the other nodes use the endpoints' own addresses.
struct cut_paths {
    std::vector<std::vector<std::unique_ptr<cut_link>>> links; ///< By node and endpoint.

    cut_paths(gateway_fleet& fleet, size_t cutNodes)
        : links(cutNodes)
    {
        for (auto& ofNode : links) {
            for (const auto& endpoint : fleet.endpoints)
                ofNode.push_back(std::make_unique<cut_link>(endpoint->address()));
        }
        fleet.addressFor = [this, &fleet](size_t node, size_t endpoint) {
            return node < links.size() ? links[node][endpoint]->address() : fleet.endpoints[endpoint]->address();
        };
        fleet.sendListing();
    }

    void setState(path_state state, size_t endpoints)
    {
        for (auto& ofNode : links) {
            for (size_t endpoint = 0; endpoint < endpoints; ++endpoint)
                ofNode[endpoint]->setState(state);
        }
    }
};

/// Sends requests to one node and counts those after contactTime.
node_counts callNode(const gateway_fleet& fleet, size_t node, const row& item, std::chrono::steady_clock::time_point start)
{
    node_counts counts;
    for (int number = 0; number * requestInterval < cutAfter + contactTime + observed; ++number) {
        std::this_thread::sleep_until(start + number * requestInterval);
        const std::string target = item.targets[static_cast<size_t>(number) % item.targets.size()];
        const bool isCounted = std::chrono::steady_clock::now() >= start + cutAfter + contactTime;
        raw_caller caller(fleet.port(node));
        caller.send(requestFor(target, "n" + std::to_string(node) + "r" + std::to_string(number) + "."));
        const bool served = isServed(target, caller.receive());
        counts.sent += isCounted ? 1 : 0;
        counts.served += isCounted && served ? 1 : 0;
    }
    return counts;
}

size_t countRanTwice(const gateway_fleet& fleet)
{
    std::map<std::string, size_t> runs;
    for (const auto& endpoint : fleet.endpoints) {
        for (const std::string& request : endpoint->requests()) {
            const size_t id = request.find("Attempt-Id: ");
            if (request.starts_with("POST /once/"))
                ++runs[request.substr(id, request.find("\r\n", id) - id)];
        }
    }
    return static_cast<size_t>(std::count_if(runs.begin(), runs.end(), [](const auto& entry) { return entry.second > 1; }));
}

row_result play(const row& item)
{
    const std::vector<scripted_answer> answers { { completeAnswer }, { wholeStream, answer_end::Keep, {}, " /stream/" }, { wholeStream, answer_end::Keep, {}, " /resume/" } };
    gateway_fleet fleet(item.nodes, std::vector<std::vector<scripted_answer>>(endpointCount, answers));
    cut_paths paths(fleet, item.cutNodes);
    std::this_thread::sleep_for(milliseconds(100));
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::future<node_counts>> callers;
    for (size_t node = 0; node < item.nodes; ++node)
        callers.push_back(std::async(std::launch::async, [&, node] { return callNode(fleet, node, item, start); }));
    std::this_thread::sleep_until(start + cutAfter);
    paths.setState(item.state, item.cutEndpoints);
    for (auto changeAt = start + cutAfter + item.soundTime; item.soundTime.count() > 0 && changeAt < start + cutAfter + contactTime + observed; changeAt += 2 * item.soundTime) {
        std::this_thread::sleep_until(changeAt);
        paths.setState(path_state::Sound, item.cutEndpoints);
        std::this_thread::sleep_until(changeAt + item.soundTime);
        paths.setState(item.state, item.cutEndpoints);
    }
    row_result result;
    for (size_t node = 0; node < item.nodes; ++node) {
        const node_counts counts = callers[node].get();
        node_counts& sum = node < item.cutNodes ? result.cut : result.others;
        sum.sent += counts.sent;
        sum.served += counts.served;
    }
    result.ranTwice = countRanTwice(fleet);
    return result;
}

double shareOf(const node_counts& counts)
{
    return counts.sent > 0 ? static_cast<double>(counts.served) / static_cast<double>(counts.sent) : 1;
}

std::string describe(const row& item, const row_result& result)
{
    return std::string("\n") + item.condition + ": served " + std::to_string(result.cut.served) + " of " + std::to_string(result.cut.sent) + " at cut nodes, " + std::to_string(result.others.served) + " of "
        + std::to_string(result.others.sent) + " at the others, " + std::to_string(result.ranTwice) + " ran twice";
}

/// @return what is wrong in each row; empty if nothing.
std::string playAll(const std::vector<row>& rows)
{
    std::string failed;
    for (size_t first = 0; first < rows.size(); first += parallelRows) {
        std::vector<std::future<row_result>> running;
        for (size_t index = first; index < std::min(first + parallelRows, rows.size()); ++index)
            running.push_back(std::async(std::launch::async, [&rows, index] { return play(rows[index]); }));
        for (size_t index = first; index < first + running.size(); ++index) {
            const row_result result = running[index - first].get();
            const auto lost = static_cast<double>(result.cut.sent - result.cut.served);
            const bool isServedWell = shareOf(result.cut) >= minRelativeService * shareOf(result.others) && lost <= 1 + maxFailedShare * static_cast<double>(result.cut.sent);
            if (!isServedWell || result.ranTwice > 0 || result.cut.sent == 0)
                failed += describe(rows[index], result);
        }
    }
    return failed;
}

} // namespace

TEST_GROUP(LostPaths) {};

TEST(LostPaths, CallersOfANodeWithoutPathsToEndpointsAreServed)
{
    const std::vector<const char*> all = { "/idem/x", "/once/x", "/stream/x", "/resume/x" };
    const std::vector<row> rows = {
        { "silent, one of three nodes", all, path_state::Silent, 3, 1 },
        { "silent, idempotent requests alone", { "/idem/x" }, path_state::Silent, 3, 1 },
        { "silent, requests that may run once", { "/once/x" }, path_state::Silent, 3, 1 },
        { "silent, streams", { "/stream/x" }, path_state::Silent, 3, 1 },
        { "silent, half of six nodes", all, path_state::Silent, 6, 3 },
        { "silent, all nodes but one", all, path_state::Silent, 5, 4 },
        { "reset, one of three nodes", all, path_state::Reset, 3, 1 },
        { "reset, half of six nodes", all, path_state::Reset, 6, 3 },
        { "reset, all nodes but one", all, path_state::Reset, 5, 4 },
        { "new connections alone, one of three nodes", all, path_state::NewSilent, 3, 1 },
        { "new connections alone, half of six nodes", all, path_state::NewSilent, 6, 3 },
        { "silent, to two of three endpoints", all, path_state::Silent, 3, 1, 2 },
        { "reset, to one of three endpoints", all, path_state::Reset, 3, 2, 1 },
        { "silent, away and back every two seconds", all, path_state::Silent, 3, 1, endpointCount, milliseconds(2000) },
        { "no cut", all, path_state::Sound, 3, 1 },
    };
    STRCMP_EQUAL("", playAll(rows).c_str());
}

TEST_GROUP(OneWayPaths) {};

TEST(OneWayPaths, CallersOfANodeWhosePathsCarryNoBytesAreServed)
{
    const std::vector<row> rows = {
        { "one of three nodes", { "/idem/x", "/once/x", "/stream/x", "/resume/x" }, path_state::OneWay, 3, 1 },
        { "half of six nodes", { "/idem/x", "/once/x", "/stream/x", "/resume/x" }, path_state::OneWay, 6, 3 },
    };
    STRCMP_EQUAL("", playAll(rows).c_str());
}
