/// @file
/// Real nodes of which the store rejects some while endpoints leave.

#include "Platform/CutLink.h"
#include "Platform/RunningNode.h"
#include "Platform/ScriptedEndpoint.h"
#include "Platform/StoreStandIn.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

#include <sys/wait.h>
#include <unistd.h>

namespace {

using namespace PlatformTests;
using nlohmann::json;
using std::chrono::milliseconds;

/// The users' values of drainMs, from the store's acknowledgement.
constexpr int usualBoundMs = 5000;
constexpr int shortBoundMs = 3000;
/// The time limit only ends a test that hangs: it is long enough for a slow machine.
constexpr int waitLimitMs = 15000;
/// Entries of so many endpoints are more than a relay sends in one message.
constexpr int manyEndpoints = 300;
constexpr int fewEndpoints = 2;
/// Long enough for the longest delay between a node's calls to a store that doesn't answer.
constexpr milliseconds silenceTime { 5000 };
constexpr int requestsPerCheck = 30;

enum class departure {
    Drains, ///< The endpoint says that it leaves.
    Removed, ///< Its entry is removed without notice.
};

enum class moment {
    WhileRejected,
    AfterReturn, ///< Right after the store serves the node again.
};

struct row {
    const char* name;
    departure kind;
    int changedEndpoints; ///< That change in the same moment.
    path_state rejection; ///< How the store rejects the node.
    bool isRelay; ///< The rejected node relays the store's tables to its zone.
    bool isAlone; ///< In its zone.
    moment when { moment::WhileRejected };
    int boundMs { usualBoundMs };
};

const row rows[] = {
    { "drains, reset", departure::Drains, fewEndpoints, path_state::Reset, false, false },
    { "removed, reset", departure::Removed, fewEndpoints, path_state::Reset, false, false },
    { "drains among many, reset", departure::Drains, manyEndpoints, path_state::Reset, false, false },
    { "removed among many, reset", departure::Removed, manyEndpoints, path_state::Reset, false, false },
    { "removed among many, silent", departure::Removed, manyEndpoints, path_state::Silent, false, false },
    { "drains, the relay is rejected", departure::Drains, fewEndpoints, path_state::Reset, true, false },
    { "removed, the relay is rejected", departure::Removed, fewEndpoints, path_state::Reset, true, false },
    { "removed, the relay gets no answer", departure::Removed, fewEndpoints, path_state::Silent, true, false },
    { "drains, alone in its zone", departure::Drains, fewEndpoints, path_state::Reset, true, true },
    { "removed, alone in its zone", departure::Removed, fewEndpoints, path_state::Reset, true, true },
    { "removed among many, alone in its zone, silent", departure::Removed, manyEndpoints, path_state::Silent, true, true },
    { "removed right after a silence", departure::Removed, fewEndpoints, path_state::OneWay, false, false, moment::AfterReturn, shortBoundMs },
    { "removed right after a silence, the relay", departure::Removed, fewEndpoints, path_state::OneWay, true, false, moment::AfterReturn, shortBoundMs },
    { "removed right after a silence, alone in its zone", departure::Removed, fewEndpoints, path_state::OneWay, true, true, moment::AfterReturn, shortBoundMs },
    { "drains right after a silence, alone in its zone", departure::Drains, fewEndpoints, path_state::OneWay, true, true, moment::AfterReturn, shortBoundMs },
};

const std::string completeAnswer = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nContent-Length: 5\r\n\r\nhello";

json makeRoute(const char* name, const char* prefix, const char* service)
{
    return { { "name", name }, { "hostname", "h.example" }, { "prefix", prefix }, { "routeType", "idempotent" }, { "timeoutMs", 2000 }, { "service", service }, { "maxAttempts", 2 } };
}

json makeManifest()
{
    return { { "version", 3 },
        { "routes", { makeRoute("r", "/p/", "s"), makeRoute("kept", "/kept/", "kept") } },
        { "services", { { { "name", "s" } }, { { "name", "kept" } }, { { "name", "other" } } } },
        { "tenants", { { { "name", "clerks" }, { "apiKeys", { "k1" } } } } } };
}

json makeEntry(const std::string& service, const std::string& address, const char* state = "ready")
{
    return { { "service", service }, { "address", address }, { "zone", "z" }, { "version", "v1" }, { "slots", 6 }, { "state", state }, { "born", 1 } };
}

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

bool isServed(const running_node& node, const std::string& target)
{
    return statusOf(ask(node.callers(), target)) == 200;
}

size_t countRequests(const scripted_endpoint& endpoint, const running_node& node)
{
    const size_t before = endpoint.requests().size();
    for (int sent = 0; sent < requestsPerCheck; ++sent)
        static_cast<void>(node.served());
    return endpoint.requests().size() - before;
}

std::string idOf(int number) { return "other-" + std::to_string(number); }

bool hasLogged(const running_node& node, const std::string& text)
{
    return node.log().find(text) != std::string::npos;
}

/// @return whether the nodes know each other, and the one that is to relay does so alone.
bool hasItsRole(const row& item, const running_node& node, const running_node& peer)
{
    if (item.isAlone)
        return hasLogged(node, "\"member_changed\"") && hasLogged(peer, "\"member_changed\"");
    return hasLogged(item.isRelay ? peer : node, "\"is_relay\":false");
}

/// Changes the entry of the leaving endpoint and those of the others at once.
void leave(store_stand_in& store, const row& item, const std::string& address)
{
    for (int number = 0; number < item.changedEndpoints; ++number)
        store.put("servers", idOf(number), makeEntry("other", "127.0.0.1:1", "draining"));
    if (item.kind == departure::Drains)
        store.put("servers", "i-leaving", makeEntry("s", address, "draining"));
    else
        store.remove("servers", "i-leaving");
}

/// @return what went wrong; empty if the node sent nothing to the endpoint after the bound.
std::string play(const row& item)
{
    store_stand_in store;
    scripted_endpoint leaving({ { completeAnswer } });
    scripted_endpoint staying({ { completeAnswer } });
    store.put("op", "config", makeManifest());
    store.put("servers", "i-leaving", makeEntry("s", leaving.address()));
    store.put("servers", "i-staying", makeEntry("kept", staying.address()));
    for (int number = 0; number < item.changedEndpoints; ++number)
        store.put("servers", idOf(number), makeEntry("other", "127.0.0.1:1"));
    cut_link link(store.address());
    // The node with more cores relays.
    const std::string cores = item.isRelay ? "0.5" : "0.12";
    const std::string coresOfPeer = item.isRelay ? "0.12" : "0.5";
    const std::string bound = "bounds.drainMs=" + std::to_string(item.boundMs);
    const running_node peer({ .name = "peer", .storeAddress = store.address(), .moreLines = { "limits.cpuShare=" + coresOfPeer, bound } });
    std::vector<std::string> lines { "limits.cpuShare=" + cores, bound };
    if (item.isAlone)
        lines.insert(lines.end(), { "zone=z2", "zones.z2=r" });
    const running_node node({ .name = "node", .storeAddress = link.address(), .moreLines = lines });
    const auto isUsed = [](const running_node& used) { return used.served() == 200 && isServed(used, "/kept/x"); };
    if (!eventually([&] { return isUsed(node) && isUsed(peer) && store.keys("nodes").size() == 2; }))
        return "the nodes didn't begin to serve";
    if (!eventually([&] { return hasItsRole(item, node, peer); }))
        return "the nodes didn't agree on their roles";
    link.setState(item.rejection);
    std::this_thread::sleep_for(item.when == moment::WhileRejected ? milliseconds(1000) : silenceTime);
    if (item.when == moment::AfterReturn) {
        link.setState(path_state::Sound);
        std::this_thread::sleep_for(milliseconds(100));
    }
    leave(store, item, leaving.address());
    std::this_thread::sleep_for(milliseconds(item.boundMs));
    const size_t late = countRequests(leaving, node);
    if (late > 0)
        return std::to_string(late) + " of " + std::to_string(requestsPerCheck) + " requests reached the endpoint after the bound";
    const std::string kept = ask(node.callers(), "/kept/x");
    return statusOf(kept) == 200 ? "" : "the endpoint that stays isn't used: " + kept;
}

/// Plays a row in a process of its own, beside the others. Starting nodes from several threads isn't safe.
/// @return the process; its status is zero if the row was kept.
pid_t startPlay(const row& item)
{
    fflush(stdout);
    const pid_t process = fork();
    if (process != 0)
        return process;
    const std::string outcome = play(item);
    printf("%s: %s\n", item.name, outcome.empty() ? "kept" : outcome.c_str());
    fflush(stdout);
    _exit(outcome.empty() ? 0 : 1);
}

} // namespace

TEST_GROUP(RejectedNodes) {};

/// A node that the store rejects went on to use endpoints that had left, though its peers knew.
TEST(RejectedNodes, ANodeThatTheStoreRejectsStopsUsingEndpointsThatLeave)
{
    std::vector<pid_t> plays;
    for (const row& item : rows)
        plays.push_back(startPlay(item));
    int failed = 0;
    for (const pid_t process : plays) {
        int status = 0;
        CHECK_EQUAL(process, waitpid(process, &status, 0));
        failed += status == 0 ? 0 : 1;
    }
    CHECK_EQUAL(0, failed);
}
