/// @file
/// A call of a service that is not idempotent (a crate release) runs at most once, and "not_run" is answered only for
/// calls that did not run.

#include "Harness/Callers.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

namespace {

using namespace Harness;

constexpr int maxTries = 8;

cluster_settings makeSettings()
{
    cluster_settings settings;
    settings.basePort = 24000;
    settings.engines = 1;
    settings.nodeOptions = { "--address-ttl", "500", "--notice", "8000" };
    return settings;
}

} // namespace

TEST_GROUP(Calls)
{
    cluster target { makeSettings() };

    void setup() override { target.start(); }

    uint64_t runsOf(const std::string& key) const
    {
        const auto runs = target.ledgerRuns();
        const auto found = runs.find(key);
        return found == runs.end() ? 0 : found->second;
    }
};

TEST(Calls, ARepeatAtAnotherNodeGetsTheStoredOutcome)
{
    const call_result first = releaseCrates(target, "k", "{}", 1, 1);
    const call_result second = releaseCrates(target, "k", "{}", 2, maxTries);
    LONGS_EQUAL(200, first.status);
    LONGS_EQUAL(200, second.status);
    LONGS_EQUAL(1, runsOf("k"));
}

TEST(Calls, TheSameKeySentToThreeNodesAtOnceRunsOnce)
{
    target.control(target.ledgerUrl(1), { { "delay_ms", 300 } });
    for (int round = 0; round < 5; ++round) {
        const std::string key = "k" + std::to_string(round);
        std::vector<std::thread> callers;
        std::vector<call_result> results(3);
        for (int node = 1; node <= 3; ++node)
            callers.emplace_back([&, node] { results[node - 1] = releaseCrates(target, key, "{}", node, 20); });
        for (std::thread& caller : callers)
            caller.join();
        for (const call_result& result : results)
            LONGS_EQUAL(200, result.status);
        LONGS_EQUAL(1, runsOf(key));
    }
}

TEST(Calls, TheSameKeyWithAnotherBodyIsRefused)
{
    releaseCrates(target, "k", "{\"crates\":1}", 1, 1);
    const call_result other = releaseCrates(target, "k", "{\"crates\":2}", 2, 1);
    LONGS_EQUAL(422, other.status);
    STRCMP_EQUAL("idempotency_key_reused", other.code.c_str());
    LONGS_EQUAL(1, runsOf("k"));
}

TEST(Calls, ACallRunsOnceWhenTheStoreLosesTheReplyToItsClaim)
{
    target.control(target.tableUrl(), { { "lose_replies", 1 } });
    LONGS_EQUAL(200, releaseCrates(target, "k", "{}", 1, 1).status);
    LONGS_EQUAL(1, runsOf("k"));
}

TEST(Calls, ACallIsRefusedAsNotRunWhileTheStoreIsDown)
{
    target.control(target.tableUrl(), { { "down", true } });
    const call_result refused = releaseCrates(target, "k", "{}", 1, 1);
    LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("not_run", refused.run.c_str());
    LONGS_EQUAL(0, runsOf("k"));
    target.control(target.tableUrl(), { { "down", false } });
    LONGS_EQUAL(200, releaseCrates(target, "k", "{}", 2, maxTries).status);
    LONGS_EQUAL(1, runsOf("k"));
}

TEST(Calls, AnOutcomeIsDeliveredWhileTheStoreIsDownAndReplayedAfterwards)
{
    target.control(target.ledgerUrl(1), { { "delay_ms", 600 } });
    std::thread outage([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        target.control(target.tableUrl(), { { "down", true } });
    });
    // The outcome cannot be stored yet, but the caller still gets it.
    LONGS_EQUAL(200, releaseCrates(target, "k", "{}", 1, 1).status);
    outage.join();
    target.control(target.tableUrl(), { { "down", false } });
    const call_result repeat = releaseCrates(target, "k", "{}", 2, 20);
    LONGS_EQUAL(200, repeat.status);
    LONGS_EQUAL(1, runsOf("k"));
}

TEST(Calls, ACallCutBeforeOrAfterItRanIsUnknownAndNotSentAgain)
{
    struct row {
        const char* fault;
        uint64_t runs;
    };
    const row rows[] = { { "cut_before", 0 }, { "cut_after", 1 } };
    for (const row& item : rows) {
        target.control(target.ledgerUrl(1), { { item.fault, 1 } });
        const call_result result = releaseCrates(target, item.fault, "{}", 1, maxTries);
        STRCMP_EQUAL("outcome_unknown", result.code.c_str());
        STRCMP_EQUAL("unknown", result.run.c_str());
        // No node sends the call again, also not for a repeat at another node.
        STRCMP_EQUAL("outcome_unknown", releaseCrates(target, item.fault, "{}", 2, maxTries).code.c_str());
        LONGS_EQUAL(item.runs, runsOf(item.fault));
    }
}

TEST(Calls, ARefusedConnectionIsNotRunAndMayBeRepeated)
{
    killProcess(target.ledger(1));
    const call_result refused = releaseCrates(target, "k", "{}", 1, 1);
    LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("not_run", refused.run.c_str());
    target.startLedger(1);
    target.waitFor(target.ledgerUrl(1) + "/control");
    LONGS_EQUAL(200, releaseCrates(target, "k", "{}", 2, 30).status);
    LONGS_EQUAL(1, runsOf("k"));
}

TEST(Calls, ACallIsUnknownWhenItsNodeIsKilledWhileItRuns)
{
    target.control(target.ledgerUrl(1), { { "delay_ms", 500 } });
    std::thread kill([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
        killProcess(target.node(1));
    });
    constexpr int oneTryAtEachNode = 3;
    const call_result result = releaseCrates(target, "k", "{}", 1, oneTryAtEachNode);
    kill.join();
    CHECK(result.run == "unknown");
    CHECK(runsOf("k") <= 1);
}

TEST(Calls, ANodePausedAfterItsClaimRunsTheCallAtMostOnce)
{
    target.control(target.tableUrl(), { { "delay_ms", 300 } });
    std::thread freeze([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        signalProcess(target.node(1), SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(3000));
        signalProcess(target.node(1), SIGCONT);
    });
    releaseCrates(target, "k", "{}", 1, 6, 1000);
    freeze.join();
    target.control(target.tableUrl(), { { "delay_ms", 0 } });
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    releaseCrates(target, "k", "{}", 3, 4);
    CHECK(runsOf("k") <= 1);
}

TEST(Calls, AGracefulStopCutsNoCallAndLosesNoOutcome)
{
    target.control(target.ledgerUrl(1), { { "delay_ms", 2500 } });
    std::thread stop([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        signalProcess(target.node(1), SIGTERM);
        // A second signal must not cut the call either.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        signalProcess(target.node(1), SIGTERM);
    });
    const call_result result = releaseCrates(target, "k", "{}", 1, 1, 8000);
    stop.join();
    LONGS_EQUAL(200, result.status);
    LONGS_EQUAL(0, waitForExit(target.node(1), 12000));
    const call_result repeat = releaseCrates(target, "k", "{}", 2, 1);
    LONGS_EQUAL(200, repeat.status);
    LONGS_EQUAL(1, runsOf("k"));
}

TEST(Calls, ALeavingNodeServesUntilItsAddressExpires)
{
    signalProcess(target.node(1), SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    LONGS_EQUAL(200, releaseCrates(target, "k", "{}", 1, 1).status);
    const http_answer addresses = call("GET", target.nodeUrl(1) + "/v1/addresses", "");
    CHECK(addresses.body.find(target.nodeUrl(1)) == std::string::npos);
}
