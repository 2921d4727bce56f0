/// @file
/// Membership between real nodes: failure detection, rejoining and leaving.

#include "Harness/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

namespace {

using namespace Harness;

constexpr int waitLimitMs = 30000;

cluster_settings makeSettings()
{
    cluster_settings settings;
    settings.basePort = 26000;
    settings.nodes = 4;
    settings.engines = 1;
    settings.hasRelays = true;
    settings.nodeOptions = { "--probe-interval", "300", "--address-ttl", "500", "--notice", "4000" };
    return settings;
}

} // namespace

TEST_GROUP(Nodes)
{
    cluster target { makeSettings() };

    void setup() override { target.start(); }

    /// @return the status of one node as another one sees it; empty without an answer, "unknown" when it is not listed.
    std::string statusAt(int observer, int member) const
    {
        const auto page = target.status(observer);
        if (!page.is_object())
            return "";
        for (const auto& item : page["members"]) {
            if (item["node"] == "node-" + std::to_string(member))
                return item["status"];
        }
        return "unknown";
    }

    /// @return whether all other nodes saw the status within the time limit.
    bool waitForStatus(int member, const std::string& status) const
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitLimitMs);
        while (std::chrono::steady_clock::now() < end) {
            bool isSeenByAll = true;
            for (int number = 1; number <= 4; ++number)
                isSeenByAll = isSeenByAll && (number == member || statusAt(number, member) == status);
            if (isSeenByAll)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }
};

TEST(Nodes, AKilledNodeIsDeadEverywhereAndItsReplacementIsAlive)
{
    CHECK(waitForStatus(3, "alive"));
    killProcess(target.node(3));
    CHECK(waitForStatus(3, "dead"));
    target.startNode(3);
    CHECK(waitForStatus(3, "alive"));
}

TEST(Nodes, ANodeDeclaredDeadWhilePausedRejoinsOnItsOwn)
{
    CHECK(waitForStatus(2, "alive"));
    signalProcess(target.node(2), SIGSTOP);
    CHECK(waitForStatus(2, "dead"));
    signalProcess(target.node(2), SIGCONT);
    CHECK(waitForStatus(2, "alive"));
    for (int number = 1; number <= 4; ++number)
        CHECK(statusAt(2, number) == "alive");
}

TEST(Nodes, ANodeCutOffFromItsPeersGetsChangesAndRejoins)
{
    constexpr int changeWaitLimitMs = 13000;
    CHECK(waitForStatus(3, "alive"));
    killProcess(target.relay(3));
    const nlohmann::json item { { "name", "during-the-cut" }, { "service", "m" } };
    LONGS_EQUAL(200, target.propose(1, { { "kind", "class" }, { "body", item } }).status);
    CHECK(target.waitForVersion(5, changeWaitLimitMs));
    // Long enough for node 3 to declare the others dead; they must not take this over from node 3.
    std::this_thread::sleep_for(std::chrono::milliseconds(12000));
    CHECK(statusAt(1, 2) == "alive" && statusAt(2, 4) == "alive" && statusAt(4, 1) == "alive");
    target.startRelay(3);
    for (int number = 1; number <= 4; ++number)
        CHECK(waitForStatus(number, "alive"));
}

TEST(Nodes, NodesAllCutOffFromEachOtherServeAndRejoin)
{
    CHECK(waitForStatus(3, "alive"));
    for (int number = 1; number <= 4; ++number)
        killProcess(target.relay(number));
    // No node reaches another: each one serves alone and reads configuration changes from the table.
    std::this_thread::sleep_for(std::chrono::milliseconds(12000));
    CHECK(statusAt(1, 2) == "dead");
    const nlohmann::json item { { "name", "alone" }, { "service", "m" } };
    LONGS_EQUAL(200, target.propose(2, { { "kind", "class" }, { "body", item } }).status);
    CHECK(target.waitForVersion(5, 13000));
    for (int number = 1; number <= 4; ++number)
        target.startRelay(number);
    for (int number = 1; number <= 4; ++number)
        CHECK(waitForStatus(number, "alive"));
}

TEST(Nodes, ALeavingNodeIsNoLongerListedInAddressAnswers)
{
    CHECK(waitForStatus(1, "alive"));
    signalProcess(target.node(1), SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int number = 2; number <= 4; ++number) {
        const http_answer answer = call("GET", target.nodeUrl(number) + "/v1/addresses", "");
        CHECK(answer.body.find(target.nodeUrl(1)) == std::string::npos);
    }
}
