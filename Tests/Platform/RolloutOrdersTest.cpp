/// @file
/// The real program while one order to change the version of a service follows another before its time limit.

#include "Platform/RolloutRows.h"
#include "Platform/RunningNode.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

constexpr int orderSeconds = 8;
constexpr milliseconds requestInterval { 10 };
constexpr milliseconds nextOrderAfter { 2500 };
/// From an order to its effect at the node.
constexpr milliseconds reactionTime { 1000 };

struct shape {
    const char* name;
    bool fails; ///< Whether v2 fails, so that it is taken back before the next order.
    const char* next; ///< Version of the next order.
    const char* expected; ///< Version that gets most requests after it.
};

const shape shapes[] = {
    { "back during the trial", false, "v1", "v1" },
    { "back after it was taken back", true, "v1", "v1" },
    { "to a third version during the trial", false, "v3", "v1" },
    { "to a third version after it was taken back", true, "v3", "v1" },
};

struct world {
    store_stand_in store {};
    std::map<std::string, std::unique_ptr<scripted_endpoint>> endpoints {};

    void list(const std::string& version, const char* status)
    {
        endpoints[version] = std::make_unique<scripted_endpoint>(std::vector<scripted_answer> { makeSealedAnswer(status) });
        listEndpoint(store, version, endpoints[version]->address());
    }

    size_t arrivals(const std::string& version) const { return endpoints.at(version)->requests().size(); }
};

void sendFor(const running_node& node, milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
        static_cast<void>(node.served());
        std::this_thread::sleep_for(requestInterval);
    }
}

void play(const shape& item)
{
    world played;
    played.store.put("op", "config", makeRolloutManifest());
    played.list("v1", "200 OK");
    running_node node({ .storeAddress = played.store.address() });
    for (int waited = 0; node.readiness() != 200 && waited < 800; ++waited)
        std::this_thread::sleep_for(requestInterval);
    sendFor(node, milliseconds(500));
    putRolloutOrder(played.store, "v2", orderSeconds);
    played.list("v2", item.fails ? "500 Internal Server Error" : "200 OK");
    sendFor(node, nextOrderAfter);
    const bool wasReverted = played.store.get("status", rolloutKey).find("reverted") != std::string::npos;
    CHECK_EQUAL_TEXT(item.fails, wasReverted, item.name);
    putRolloutOrder(played.store, item.next, orderSeconds);
    if (played.endpoints.count(item.next) == 0)
        played.list(item.next, "200 OK");
    sendFor(node, reactionTime);
    std::map<std::string, size_t> before;
    for (const auto& [version, endpoint] : played.endpoints)
        before[version] = played.arrivals(version);
    sendFor(node, milliseconds(3000));
    std::map<std::string, size_t> counts;
    size_t sum = 0;
    for (const auto& [version, count] : before) {
        counts[version] = played.arrivals(version) - count;
        sum += counts[version];
    }
    printf("%s: %zu at v2, %zu at %s, %zu in all\n", item.name, counts["v2"], counts[item.expected], item.expected, sum);
    CHECK_EQUAL_TEXT(0, counts["v2"], item.name);
    CHECK_TEXT(counts[item.expected] * 2 > sum && sum > 100, item.name);
}

} // namespace

TEST_GROUP(PlatformRolloutOrders) {};

// Guards against an order that sends the traffic to a version which the order before it was trying (EXPOSURE).
TEST(PlatformRolloutOrders, AVersionThatIsLeftGetsNoRequestThatAnotherCanTake)
{
    for (const shape& item : shapes)
        play(item);
}
