/// @file
/// The real program against a stand-in for the platform's store: start, catalog changes, store faults, reload of the
/// settings, shutdown.

#include "Platform/CloudStandIn.h"
#include "Platform/RunningNode.h"
#include "Platform/ScriptedEndpoint.h"
#include "Platform/StoreStandIn.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <map>
#include <thread>

namespace {

using namespace PlatformTests;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int waitLimitMs = 8000;

const std::string completeAnswer = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nContent-Length: 5\r\n\r\nhello";

json makeManifest(int version, const char* key)
{
    return { { "version", version },
        { "routes", { { { "name", "r" }, { "hostname", "h.example" }, { "prefix", "/p/" }, { "routeType", "idempotent" }, { "timeoutMs", 2000 }, { "service", "s" }, { "maxAttempts", 2 } } } },
        { "services", { { { "name", "s" } } } },
        { "tenants", { { { "name", "clerks" }, { "apiKeys", { key } } } } } };
}

json makeEntry(const std::string& address, const char* state = "ready")
{
    return { { "service", "s" }, { "address", address }, { "zone", "z" }, { "version", "v1" }, { "slots", 6 }, { "state", state }, { "born", 1 } };
}

/// Polls until the condition holds. The time limit only ends a test that hangs: it is long enough for a slow machine.
/// @return whether the condition held in time.
template <typename predicate>
bool eventually(predicate condition)
{
    for (int waited = 0; waited < waitLimitMs; waited += 20) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

/// A node that was just started doesn't know which endpoints are down. Requests that meet only such ones aren't sent.
/// @return whether a series of requests was served; fails the test if one was refused for another reason.
bool knowsSoundEndpoints(const running_node& node)
{
    constexpr int seriesLength = 20;
    for (int sent = 0; sent < seriesLength; ++sent) {
        const std::string answer = ask(node.callers(), "/p/x");
        if (statusOf(answer) == 200)
            continue;
        CHECK_TEXT(statusOf(answer) == 503 && answer.find("not_sent") != std::string::npos, answer.c_str());
        return false;
    }
    return true;
}

} // namespace

TEST_GROUP(PlatformNode) {};

TEST(PlatformNode, ANodeServesOnceItHasTheCatalogAndAppliesOnlyNewerVersions)
{
    store_stand_in store;
    scripted_endpoint endpoint({ { completeAnswer } });
    running_node node({ .storeAddress = store.address() });
    CHECK(eventually([&] { return node.served() == 503; }));
    CHECK_EQUAL(503, node.readiness());
    store.put("op", "config", makeManifest(3, "k1"));
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    CHECK(eventually([&] { return node.served() == 200; }));
    CHECK_EQUAL(200, node.readiness());
    CHECK(eventually([&] { return ask(node.ready(), "/v1/resolve?zone=z&region=r").find(std::to_string(node.callers())) != std::string::npos; }));
    // Version 5 replaces the key. Version 4, written after it, is older and must be ignored.
    store.put("op", "config", makeManifest(5, "k2"));
    CHECK(eventually([&] { return node.served() == 401; }));
    store.put("op", "config", makeManifest(4, "k1"));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK_EQUAL(401, node.served());
    CHECK_EQUAL(200, node.served("k2"));
    CHECK(ask(node.metrics(), "/metrics").find("filbertreel_catalog_version 5") != std::string::npos);
}

TEST(PlatformNode, StoreFaultsDoNotInterruptServing)
{
    struct row {
        const char* fault;
        store_mode mode;
    };
    const row rows[] = { { "busy", store_mode::Busy }, { "silent", store_mode::Silent }, { "no history", store_mode::ForgetHistory } };
    for (const row& item : rows) {
        store_stand_in store;
        scripted_endpoint endpoint({ { completeAnswer } });
        store.put("op", "config", makeManifest(3, "k1"));
        store.put("servers", "i-1", makeEntry(endpoint.address()));
        running_node node({ .storeAddress = store.address() });
        CHECK_TEXT(eventually([&] { return node.served() == 200; }), item.fault);
        store.setMode(item.mode);
        std::this_thread::sleep_for(milliseconds(1000));
        CHECK_EQUAL_TEXT(200, node.served(), item.fault);
        store.put("op", "config", makeManifest(6, "k2"));
        if (item.mode != store_mode::ForgetHistory)
            store.setMode(store_mode::Serve);
        CHECK_TEXT(eventually([&] { return node.served("k2") == 200; }), item.fault);
        CHECK_EQUAL_TEXT(401, node.served(), item.fault);
    }
}

TEST(PlatformNode, AStoreRestoredFromAnOlderCopyIsReadAndWrittenAnew)
{
    store_stand_in store;
    scripted_endpoint endpoint({ { completeAnswer } });
    store.put("op", "config", makeManifest(3, "k1"));
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    store.backUp();
    running_node node({ .storeAddress = store.address() });
    CHECK(eventually([&] { return node.served() == 200; }));
    store.put("op", "config", makeManifest(5, "k2"));
    CHECK(eventually([&] { return node.served("k2") == 200 && !store.keys("nodes").empty(); }));
    store.restoreCopy();
    store.put("op", "config", makeManifest(6, "k3"));
    // The versions that the node knows are given out again before its next query.
    for (int write = 0; write < 50; ++write)
        store.put("other", "key", write);
    CHECK(eventually([&] { return node.served("k3") == 200; }));
    CHECK(eventually([&] { return !store.keys("nodes").empty(); }));
    // An older manifest in a further copy doesn't take effect.
    store.restoreCopy();
    CHECK(eventually([&] { return node.log().find("\"to\":2") != std::string::npos; }));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK_EQUAL(200, node.served("k3"));
    CHECK_EQUAL(401, node.served("k1"));
}

TEST(PlatformNode, AfterARestoreTheDutiesGoOnWithHigherTokensAndEachWindowHasOneReport)
{
    constexpr uint64_t firstTokenOfNextEra = uint64_t { 1 } << 40;
    store_stand_in store;
    cloud_stand_in cloud;
    scripted_endpoint endpoint({ { completeAnswer } });
    store.put("op", "config", makeManifest(3, "k1"));
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    const std::vector<std::string> lines { "bounds.windowS=1", "bounds.usageLateS=10" };
    running_node first({ .name = "n1", .storeAddress = store.address(), .cloudAddress = cloud.address(), .moreLines = lines });
    running_node second({ .name = "n2", .storeAddress = store.address(), .cloudAddress = cloud.address(), .moreLines = lines });
    const auto countReports = [&](uint64_t lowestToken) {
        first.served();
        second.served();
        const auto calls = cloud.calls();
        return std::count_if(calls.begin(), calls.end(), [lowestToken](const duty_call& call) { return call.duty == "usage" && call.isAccepted && call.fence >= lowestToken; });
    };
    CHECK(eventually([&] { return countReports(0) >= 1; }));
    store.backUp();
    CHECK(eventually([&] { return countReports(0) >= 3; }));
    store.restoreCopy({ "op", "servers" });
    CHECK(eventually([&] { return countReports(firstTokenOfNextEra) >= 4; }));
    std::map<int64_t, std::string> counts;
    uint64_t highestToken = 0;
    for (const duty_call& call : cloud.calls()) {
        CHECK(call.fence >= highestToken);
        highestToken = call.fence;
        const json body = json::parse(call.body);
        if (call.duty == "usage")
            CHECK_EQUAL(body.at("counts").dump(), counts.try_emplace(body.at("windowId").get<int64_t>(), body.at("counts").dump()).first->second);
    }
}

TEST(PlatformNode, ADrainingOrRemovedEndpointGetsNoMoreRequests)
{
    store_stand_in store;
    scripted_endpoint endpoint({ { completeAnswer } });
    store.put("op", "config", makeManifest(3, "k1"));
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    store.put("servers", "i-2", "not an entry");
    running_node node({ .storeAddress = store.address() });
    CHECK(eventually([&] { return node.served() == 200; }));
    store.put("servers", "i-1", makeEntry(endpoint.address(), "draining"));
    CHECK(eventually([&] { return node.served() == 503; }));
    const size_t arrivals = endpoint.requests().size();
    for (int request = 0; request < 5; ++request)
        node.served();
    CHECK_EQUAL(arrivals, endpoint.requests().size());
    store.put("servers", "i-3", makeEntry(endpoint.address()));
    CHECK(eventually([&] { return node.served() == 200; }));
    store.remove("servers", "i-3");
    CHECK(eventually([&] { return node.served() == 503; }));
    CHECK(eventually([&] { return node.log().find("endpoint_entry_unreadable") != std::string::npos; }));
}

TEST(PlatformNode, AnEndpointsOwnWordThatItLeavesHoldsOnAllNodesWhileItsEntrySaysReady)
{
    store_stand_in store;
    const std::string leavingAnswer = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nServer-Leaving: 1\r\nContent-Length: 5\r\n\r\nhello";
    scripted_endpoint endpoint({ { leavingAnswer } });
    store.put("op", "config", makeManifest(3, "k1"));
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    running_node first({ .name = "n1", .storeAddress = store.address() });
    running_node second({ .name = "n2", .storeAddress = store.address() });
    const auto knows = [](const running_node& node, const char* text) { return node.log().find(text) != std::string::npos; };
    CHECK(eventually([&] { return knows(first, "member_changed") && knows(second, "member_changed") && knows(first, "endpoint_changed") && knows(second, "endpoint_changed"); }));
    CHECK(eventually([&] { return first.readiness() == 200 && second.readiness() == 200; }));
    CHECK_EQUAL(200, first.served());
    CHECK_EQUAL(503, first.served());
    CHECK(eventually([&] { return knows(second, "began_leaving"); }));
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK_EQUAL(503, first.served());
    CHECK_EQUAL(503, second.served());
    CHECK_EQUAL(1, endpoint.requests().size());
    json restarted = makeEntry(endpoint.address());
    restarted["born"] = 2;
    store.put("servers", "i-1", restarted);
    CHECK(eventually([&] { return second.served() == 200; }));
}

TEST(PlatformNode, AQuarantinedRequestStaysRefusedWhenAllNodesAreStartedAgainAndWhenTheStoreIsRestored)
{
    store_stand_in store;
    store.put("op", "config", makeManifest(3, "k1"));
    // Started before the endpoints: a child process would keep their listening sockets open.
    running_node node({ .name = "n1", .storeAddress = store.address() });
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    for (int number = 0; number < 8; ++number) {
        endpoints.push_back(std::make_unique<scripted_endpoint>(std::vector<scripted_answer> { { completeAnswer }, { "", answer_end::GoDown, {}, "/p/crash" } }));
        store.put("servers", "i-" + std::to_string(number), makeEntry(endpoints.back()->address()));
    }
    const auto countDown = [&] { return std::count_if(endpoints.begin(), endpoints.end(), [](const auto& endpoint) { return endpoint->isDown(); }); };
    std::string lastAnswer;
    const auto isRefused = [&](const running_node& node) {
        // A request that is stopped after it has run gets another status.
        lastAnswer = ask(node.callers(), "/p/crash");
        return statusOf(lastAnswer) == 503 && lastAnswer.find("request_quarantined") != std::string::npos;
    };
    CHECK(eventually([&] { return node.served() == 200; }));
    store.backUp();
    for (int sent = 0; sent < 10 && !isRefused(node); ++sent)
        std::this_thread::sleep_for(milliseconds(250));
    CHECK_TEXT(isRefused(node), lastAnswer.c_str());
    const auto down = countDown();
    CHECK(down <= 6);
    CHECK(eventually([&] { return store.keys("quarantine").size() == 1; }));
    store.restoreCopy();
    CHECK(eventually([&] { return store.keys("quarantine").size() == 1; }));
    Harness::killProcess(node.child);
    node.startAgain();
    running_node other({ .name = "n2", .storeAddress = store.address() });
    CHECK(eventually([&] { return node.readiness() == 200 && other.readiness() == 200; }));
    CHECK_TEXT(isRefused(node), lastAnswer.c_str());
    CHECK_TEXT(isRefused(other), lastAnswer.c_str());
    CHECK(eventually([&] { return knowsSoundEndpoints(node); }));
    CHECK_EQUAL(200, node.served());
    CHECK_EQUAL(down, countDown());
}

TEST(PlatformNode, AccountsWithLimitsAreServedByANodeThatStartsWhileTheStoreIsAway)
{
    store_stand_in store;
    scripted_endpoint endpoint({ { completeAnswer } });
    json manifest = makeManifest(3, "k1");
    manifest["tenants"][0]["perS"] = 100;
    manifest["tenants"][0]["burst"] = 100;
    store.put("op", "config", manifest);
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    running_node first({ .name = "n1", .storeAddress = store.address() });
    running_node second({ .name = "n2", .storeAddress = store.address() });
    const auto knowsOther = [](const running_node& node) { return node.log().find("member_changed") != std::string::npos; };
    CHECK(eventually([&] { return knowsOther(first) && knowsOther(second) && first.served() == 200 && second.served() == 200; }));
    store.setMode(store_mode::Silent);
    Harness::killProcess(first.child);
    first.startAgain();
    CHECK(eventually([&] { return first.readiness() == 200; }));
    CHECK(eventually([&] { return first.served() != 429 && first.served() != 0; }));
    CHECK(eventually([&] { return second.served() == 200; }));
}

TEST(PlatformNode, ALeavingNodeIsOutOfTheDirectoryAndEndsInTime)
{
    store_stand_in store;
    scripted_endpoint endpoint({ { completeAnswer } });
    store.put("op", "config", makeManifest(3, "k1"));
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    running_node node({ .storeAddress = store.address() });
    CHECK(eventually([&] { return node.served() == 200 && !store.keys("nodes").empty(); }));
    Harness::signalProcess(node.child, SIGTERM);
    CHECK(eventually([&] { return node.readiness() == 503; }));
    CHECK_EQUAL(503, statusOf(ask(node.ready(), "/v1/resolve?zone=z&region=r")));
    const std::string late = ask(node.callers(), "/p/x");
    CHECK_EQUAL(200, statusOf(late));
    CHECK(late.find("Connection: close") != std::string::npos);
    CHECK_EQUAL(0, Harness::waitForExit(node.child, waitLimitMs));
    CHECK(store.keys("nodes").empty());
    CHECK(node.log().find("node_left") != std::string::npos);
}

TEST(PlatformNode, SettingsAreReloadedAndInvalidOnesAreRejected)
{
    store_stand_in store;
    store.put("op", "config", makeManifest(3, "k1"));
    running_node node({ .storeAddress = store.address() });
    CHECK(eventually([&] { return node.readiness() == 200; }));
    node.writeSettings("some.new=1\n");
    CHECK(eventually([&] { return node.log().find("settings_reloaded") != std::string::npos; }));
    node.writeSettings("bounds.drainMs=soon\n");
    CHECK(eventually([&] { return node.log().find("settings_unreadable") != std::string::npos; }));
    CHECK_EQUAL(200, node.readiness());
    CHECK(Harness::isRunning(node.child));
}

TEST(PlatformNode, ANodeStartedWithUnreadableSettingsWaitsForReadableOnes)
{
    store_stand_in store;
    store.put("op", "config", makeManifest(3, "k1"));
    running_node node({ .storeAddress = store.address() });
    CHECK(eventually([&] { return node.readiness() == 200; }));
    Harness::killProcess(node.child);
    node.startAgain("bounds.drainMs=soon\n");
    CHECK(eventually([&] { return node.log().find("settings_unreadable") != std::string::npos; }));
    CHECK(Harness::isRunning(node.child));
    node.writeSettings("");
    CHECK(eventually([&] { return node.readiness() == 200; }));
}

TEST(PlatformNode, ALateWriteOfItsEarlierProcessDoesNotHideANodeThatWasStartedAgain)
{
    struct row {
        const char* condition;
        int64_t incarnationChange;
        bool isLeaving;
    };
    const row rows[] = {
        { "the earlier process leaves", -1000, true },
        { "the earlier process registers", -1000, false },
    };
    store_stand_in store;
    store.put("op", "config", makeManifest(3, "k1"));
    running_node node({ .storeAddress = store.address() });
    CHECK(eventually([&] { return node.served() == 200 || node.served() == 503; }));
    CHECK(eventually([&] { return !store.get("nodes", "n1").empty(); }));
    const json own = json::parse(store.get("nodes", "n1"));
    const auto isNamed = [&] { return ask(node.ready(), "/v1/resolve?zone=z&region=r").find(std::to_string(node.callers())) != std::string::npos; };
    for (const row& item : rows) {
        CHECK_TEXT(eventually(isNamed), item.condition);
        json late = own;
        late["incarnation"] = own["incarnation"].get<int64_t>() + item.incarnationChange;
        late["leaving"] = item.isLeaving;
        store.put("nodes", "n1", late);
        CHECK_TEXT(eventually([&] {
            const json current = json::parse(store.get("nodes", "n1"));
            return current["incarnation"] == own["incarnation"] && current["leaving"] == false;
        }),
            item.condition);
        CHECK_TEXT(eventually(isNamed), item.condition);
    }
}
