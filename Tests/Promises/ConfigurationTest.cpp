/// @file
/// An accepted configuration change is in force at all nodes within the time limit and is never reverted.

#include "Harness/Cluster.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

namespace {

using namespace Harness;
using nlohmann::json;

constexpr int waitLimitMs = 13000;

cluster_settings makeSettings()
{
    cluster_settings settings;
    settings.basePort = 25000;
    settings.engines = 1;
    return settings;
}

json makeClass(const std::string& name, int firstTokenMs)
{
    return { { "kind", "class" }, { "body", { { "name", name }, { "work", "model" }, { "service", "m" }, { "first_token_ms", firstTokenMs } } } };
}

} // namespace

TEST_GROUP(ConfigurationInForce)
{
    cluster target { makeSettings() };

    void setup() override { target.start(); }
};

TEST(ConfigurationInForce, AChangeReachesAllNodes)
{
    LONGS_EQUAL(200, target.propose(2, makeClass("new", 500)).status);
    CHECK(target.waitForVersion(5, waitLimitMs));
}

TEST(ConfigurationInForce, OfTwoConcurrentChangesToOneObjectOneIsRefusedWithTheConflict)
{
    json first = makeClass("same", 500);
    json second = makeClass("same", 600);
    first["seen_version"] = 4;
    second["seen_version"] = 4;
    std::vector<http_answer> answers(2);
    std::thread left([&] { answers[0] = target.propose(1, first); });
    std::thread right([&] { answers[1] = target.propose(2, second); });
    left.join();
    right.join();
    LONGS_EQUAL(200 + 409, answers[0].status + answers[1].status);
    const http_answer& refusedAnswer = answers[0].status == 409 ? answers[0] : answers[1];
    LONGS_EQUAL_TEXT(1, json::parse(refusedAnswer.body)["changed_meanwhile"].size(), refusedAnswer.body.c_str());
}

TEST(ConfigurationInForce, AChangeIsAcceptedOnceWhenTheStoreLosesItsReply)
{
    target.control(target.tableUrl(), { { "lose_replies", 1 } });
    LONGS_EQUAL(200, target.propose(1, makeClass("new", 500)).status);
    CHECK(target.waitForVersion(5, waitLimitMs));
    CHECK(target.configurationVersion(1) == 5);
}

TEST(ConfigurationInForce, AnAcceptedChangeReachesAllNodesWhileTheStoreIsDown)
{
    LONGS_EQUAL(200, target.propose(1, makeClass("new", 500)).status);
    target.control(target.tableUrl(), { { "down", true } });
    CHECK(target.waitForVersion(5, waitLimitMs));
    const http_answer refused = target.propose(1, makeClass("other", 500));
    LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("not_run", json::parse(refused.body)["error"]["run"].get<std::string>().c_str());
}

TEST(ConfigurationInForce, ANodeStartedInAStoreOutageGetsTheConfigurationFromItsPeers)
{
    killProcess(target.node(3));
    target.control(target.tableUrl(), { { "down", true } });
    target.startNode(3);
    CHECK(target.waitForVersion(4, waitLimitMs));
}

TEST(ConfigurationInForce, APausedNodeCatchesUpAndNoNodeReverts)
{
    signalProcess(target.node(3), SIGSTOP);
    for (int change = 0; change < 5; ++change)
        LONGS_EQUAL(200, target.propose(1, makeClass("new", 500 + change)).status);
    signalProcess(target.node(3), SIGCONT);
    CHECK(target.waitForVersion(9, waitLimitMs));
}

TEST(ConfigurationInForce, AChangeStaysInForceWhileAllNodesAreReplaced)
{
    LONGS_EQUAL(200, target.propose(1, makeClass("new", 500)).status);
    for (int number = 1; number <= 3; ++number) {
        killProcess(target.node(number));
        target.startNode(number);
        CHECK(target.waitForVersion(5, waitLimitMs));
    }
}
