/// @file
/// Planned stops and reloads of real nodes under requests that go on until the process is gone.

#include "Platform/RunningNode.h"
#include "Platform/ScriptedEndpoint.h"
#include "Platform/StoreStandIn.h"
#include "Platform/TimedTraffic.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <csignal>
#include <functional>

namespace {

using namespace PlatformTests;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds waitLimit { 10000 };
/// After the planned stop; late enough that the grace period ends before the time limit of requests that are sent then.
constexpr milliseconds slowAfter { 4800 };
constexpr milliseconds slowWork { 8000 };
/// Of each request, less what the system may answer earlier.
constexpr milliseconds timeLimit { 2900 };

json makeManifest(int version)
{
    const auto route = [](const char* name, const char* type) { return json { { "name", name }, { "hostname", "h.example" }, { "prefix", std::string("/") + name + "/" }, { "routeType", type }, { "timeoutMs", 3000 }, { "service", "s" }, { "maxAttempts", 2 } }; };
    return { { "version", version },
        { "routes", { route("idem", "idempotent"), route("once", "unsafe"), route("stream", "streaming") } },
        { "services", { { { "name", "s" } } } },
        { "tenants", { { { "name", "clerks" }, { "apiKeys", { "k1" } } } } } };
}

json makeEntry(const std::string& address)
{
    return { { "service", "s" }, { "address", address }, { "zone", "z" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "born", 1 } };
}

bool eventually(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

enum class planned_work {
    Stop,
    Reload,
    Manifest,
    StopInTurn, ///< All nodes, with overlap.
    StopOneOfTwo, ///< The first; answers that begin late in its grace period take longer than that.
};

struct row {
    const char* name;
    planned_work work;
    request_shape shape;
    size_t callers { 8 };
    milliseconds answerTime { 40 };
    int graceSeconds { 4 };
    size_t slots { 1000 };
};

size_t countLines(const running_node& node, const std::string& event)
{
    const std::string log = node.log();
    size_t count = 0;
    for (size_t at = log.find("\"" + event + "\""); at != std::string::npos; at = log.find("\"" + event + "\"", at + 1))
        ++count;
    return count;
}

/// Plays the planned work while callers send.
struct stage {
    store_stand_in store;
    std::vector<std::unique_ptr<timed_endpoint>> endpoints;
    std::vector<std::unique_ptr<running_node>> nodes;
    row item;

    explicit stage(const row& played)
        : item(played)
    {
        store.put("op", "config", makeManifest(3));
        for (int number = 0; number < 2; ++number) {
            endpoints.push_back(std::make_unique<timed_endpoint>(item.answerTime, item.slots));
            store.put("servers", "i-" + std::to_string(number), makeEntry(endpoints.back()->address()));
        }
        const int nodeCount = item.work == planned_work::StopInTurn ? 3 : (item.work == planned_work::StopOneOfTwo ? 2 : 1);
        for (int number = 0; number < nodeCount; ++number)
            nodes.push_back(std::make_unique<running_node>(node_surroundings { .name = "n" + std::to_string(number), .storeAddress = store.address(), .moreLines = { "bounds.graceS=" + std::to_string(item.graceSeconds) } }));
        for (const auto& node : nodes)
            CHECK_TEXT(eventually([&] { return node->readiness() == 200 && statusOf(ask(node->callers(), "/idem/x")) == 200; }), item.name);
    }

    void stop(running_node& node) const
    {
        Harness::signalProcess(node.child, SIGTERM);
    }

    /// @return whether the process ended by itself.
    bool waitForEnd(running_node& node) const
    {
        return Harness::waitForExit(node.child, static_cast<int>(waitLimit.count())) == 0;
    }

    void perform()
    {
        std::this_thread::sleep_for(milliseconds(250));
        switch (item.work) {
        case planned_work::Stop:
            stop(*nodes[0]);
            CHECK_TEXT(waitForEnd(*nodes[0]), item.name);
            break;
        case planned_work::StopOneOfTwo:
            stop(*nodes[0]);
            std::this_thread::sleep_for(slowAfter);
            for (const auto& endpoint : endpoints)
                endpoint->setWork(slowWork);
            CHECK_TEXT(waitForEnd(*nodes[0]), item.name);
            break;
        case planned_work::Reload:
            for (int times = 0; times < 4; ++times) {
                nodes[0]->writeSettings("some.new=" + std::to_string(times) + "\n");
                Harness::signalProcess(nodes[0]->child, SIGHUP);
                std::this_thread::sleep_for(milliseconds(200));
            }
            break;
        case planned_work::Manifest:
            for (int version = 4; version < 8; ++version) {
                store.put("op", "config", makeManifest(version));
                std::this_thread::sleep_for(milliseconds(200));
            }
            break;
        case planned_work::StopInTurn:
            for (const auto& node : nodes) {
                stop(*node);
                std::this_thread::sleep_for(milliseconds(700));
            }
            for (const auto& node : nodes)
                CHECK_TEXT(waitForEnd(*node), item.name);
            break;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }

    std::set<std::string> arrivals() const
    {
        std::set<std::string> all;
        for (const auto& endpoint : endpoints)
            all.merge(endpoint->arrivals());
        return all;
    }

    size_t countCuts() const
    {
        size_t cuts = 0;
        for (const auto& node : nodes)
            cuts += countLines(*node, "request_cut");
        return cuts;
    }
};

/// @return what is wrong; empty if nothing is.
std::string judge(const row& item, const std::vector<sent_request>& requests, const std::set<std::string>& arrivals, size_t cuts)
{
    size_t lost = 0;
    size_t untrue = 0;
    size_t served = 0;
    size_t refused = 0;
    size_t unanswered = 0;
    for (const sent_request& request : requests) {
        const bool hasArrived = arrivals.contains(request.id);
        served += request.isAnswered && request.status == 200 ? 1 : 0;
        refused += request.isAnswered && request.status == 503 ? 1 : 0;
        untrue += request.isAnswered && request.status == 503 && hasArrived ? 1 : 0;
        unanswered += request.isAnswered ? 0 : 1;
        lost += !request.isAnswered && hasArrived ? 1 : 0;
    }
    const std::string seen = std::string(item.name) + ": " + std::to_string(requests.size()) + " sent, " + std::to_string(served) + " served, " + std::to_string(refused) + " refused, " + std::to_string(unanswered) + " unanswered, " + std::to_string(lost) + " lost, " + std::to_string(untrue) + " refused though they ran, " + std::to_string(cuts) + " cut by the stop";
    UT_PRINT(seen.c_str());
    // Each caller may meet the last close of its node once.
    const bool areDropped = unanswered > item.callers * static_cast<size_t>(item.shape.pipelined) * (item.work == planned_work::StopInTurn ? 3 : 1);
    return lost + untrue + cuts > 0 || areDropped || served == 0 ? seen : "";
}

std::string play(const row& item)
{
    stage played(item);
    std::vector<uint16_t> ports;
    for (const auto& node : played.nodes)
        ports.push_back(node->callers());
    timed_callers callers(ports, item.callers, item.shape);
    played.perform();
    return judge(item, callers.finish(), played.arrivals(), played.countCuts());
}

/// @return how many requests were passed on and cut without a whole answer before their time limit.
size_t countCutInTime(const std::vector<sent_request>& requests, const std::set<std::string>& arrivals)
{
    return static_cast<size_t>(std::count_if(requests.begin(), requests.end(), [&arrivals](const sent_request& request) {
        return !request.isAnswered && arrivals.contains(request.id) && request.ended - request.sent < timeLimit;
    }));
}

const request_shape kept { .target = "/once/x", .keepsConnection = true };
const request_shape sparse { .target = "/once/x", .pause = milliseconds(90) };
const request_shape pipelined { .target = "/once/x", .keepsConnection = true, .pipelined = 3 };
const request_shape halfBody { .target = "/idem/x", .bodyPause = milliseconds(150) };
const request_shape stream { .target = "/stream/x" };

} // namespace

TEST_GROUP(PlannedStops) {};

TEST(PlannedStops, WhatWasReadWholeIsAnsweredWhole)
{
    const row rows[] = {
        { "SIGTERM, new connections", planned_work::Stop, {} },
        { "SIGTERM, kept connections, at most once", planned_work::Stop, kept },
        { "SIGTERM, pipelined", planned_work::Stop, pipelined },
        { "SIGTERM, bodies half sent", planned_work::Stop, halfBody },
        { "SIGTERM, streams", planned_work::Stop, stream, 8, milliseconds(250) },
        { "SIGTERM, nothing in flight at times", planned_work::Stop, sparse, 3, milliseconds(60), 8 },
        { "SIGHUP, kept connections", planned_work::Reload, kept },
        { "manifests, new connections", planned_work::Manifest, {} },
        { "all nodes in turn", planned_work::StopInTurn, { .target = "/once/x" }, 8, milliseconds(60) },
    };
    std::string failures;
    for (const row& item : rows) {
        const std::string failure = play(item);
        failures += failure.empty() ? "" : failure + "\n";
    }
    STRCMP_EQUAL("", failures.c_str());
}

TEST(PlannedStops, RequestsTakenLateInTheGraceOfOneOfTwoNodesAreNotCutAtItsEnd)
{
    const row rows[] = {
        { "at most once", planned_work::StopOneOfTwo, { .target = "/once/x" }, 4, milliseconds(60), 8 },
        { "streams", planned_work::StopOneOfTwo, stream, 4, milliseconds(200), 8 },
    };
    for (const row& item : rows) {
        stage played(item);
        timed_callers callers({ played.nodes[0]->callers() }, item.callers, item.shape);
        played.perform();
        const std::vector<sent_request> requests = callers.finish();
        const size_t cut = countCutInTime(requests, played.arrivals());
        UT_PRINT((std::string(item.name) + ": " + std::to_string(requests.size()) + " sent, " + std::to_string(cut) + " cut").c_str());
        CHECK_EQUAL_TEXT(0, cut, item.name);
    }
}
