/// @file
/// Membership between real nodes: death, return, leaving.

#include "Harness/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

namespace {

using namespace Harness;

constexpr int secondsAllowed = 30000;

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

    std::string statusAt(int number, int of) const
    {
        const auto page = target.status(number);
        if (!page.is_object())
            return "";
        for (const auto& item : page["members"]) {
            if (item["node"] == "node-" + std::to_string(of))
                return item["status"];
        }
        return "unknown";
    }

    bool waitForStatus(int of, const std::string& status) const
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(secondsAllowed);
        while (std::chrono::steady_clock::now() < end) {
            bool isEverywhere = true;
            for (int number = 1; number <= 4; ++number)
                isEverywhere = isEverywhere && (number == of || statusAt(number, of) == status);
            if (isEverywhere)
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

TEST(Nodes, AFrozenNodeDeclaredDeadComesBackByItself)
{
    CHECK(waitForStatus(2, "alive"));
    signalProcess(target.node(2), SIGSTOP);
    CHECK(waitForStatus(2, "dead"));
    signalProcess(target.node(2), SIGCONT);
    CHECK(waitForStatus(2, "alive"));
    for (int number = 1; number <= 4; ++number)
        CHECK(statusAt(2, number) == "alive");
}

TEST(Nodes, ANodeThatHearsNoPeerStillGetsChangesAndComesBack)
{
    constexpr int inForceEverywhere = 13000;
    CHECK(waitForStatus(3, "alive"));
    killProcess(target.relay(3));
    const nlohmann::json item { { "name", "during-the-cut" }, { "service", "m" } };
    LONGS_EQUAL(200, target.propose(1, { { "kind", "class" }, { "body", item } }).status);
    CHECK(target.waitForVersion(5, inForceEverywhere));
    // Long enough for node 3 to think the others dead; they must not believe it of each other.
    std::this_thread::sleep_for(std::chrono::milliseconds(12000));
    CHECK(statusAt(1, 2) == "alive" && statusAt(2, 4) == "alive" && statusAt(4, 1) == "alive");
    target.startRelay(3);
    for (int number = 1; number <= 4; ++number)
        CHECK(waitForStatus(number, "alive"));
}

TEST(Nodes, ASideThatIsCutOffAsAWholeComesTogetherAgain)
{
    CHECK(waitForStatus(3, "alive"));
    for (int number = 1; number <= 4; ++number)
        killProcess(target.relay(number));
    // Nobody hears anybody: every node is alone, serves, and takes changes from the table.
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

TEST(Nodes, ALeavingNodeDropsOutOfTheAddressAnswersAtOnce)
{
    CHECK(waitForStatus(1, "alive"));
    signalProcess(target.node(1), SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int number = 2; number <= 4; ++number) {
        const http_answer answer = call("GET", target.nodeUrl(number) + "/v1/addresses", "");
        CHECK(answer.body.find(target.nodeUrl(1)) == std::string::npos);
    }
}
