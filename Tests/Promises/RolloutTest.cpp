/// @file
/// The rollout of a new version between real nodes: a healthy version takes over before its deadline, a failing one is
/// taken back after few requests.

#include "Harness/Callers.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

namespace {

using namespace Harness;
using nlohmann::json;

constexpr int rolloutPeriodMs = 30000;
constexpr int callerCount = 6;

cluster_settings makeSettings()
{
    cluster_settings settings;
    settings.basePort = 22000;
    settings.engineOptions = { "--token-ms", "5" };
    return settings;
}

int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

TEST_GROUP(RolloutBetweenNodes)
{
    cluster target { makeSettings() };
    std::atomic<bool> isStopping { false };
    std::atomic<int> completeAnswers { 0 };
    std::atomic<int> incompleteAnswers { 0 };
    std::vector<std::thread> traffic;

    void setup() override { target.start(); }

    void teardown() override { endTraffic(); }

    /// Proposes version v2, with engine 3 as its only endpoint.
    void startRollout()
    {
        target.listEndpoint("engine-3", "engine", "summary-model", target.engineUrl(3), "east", false, "v2");
        std::this_thread::sleep_for(std::chrono::milliseconds(4000));
        const int64_t now = wallMilliseconds();
        const json version { { "service", "summary-model" }, { "name", "v2" }, { "state", "taking_over" }, { "started_at_ms", now }, { "deadline_ms", now + rolloutPeriodMs } };
        LONGS_EQUAL(200, target.propose(1, { { "kind", "version" }, { "body", version } }).status);
    }

    void sendTraffic()
    {
        for (int caller = 0; caller < callerCount; ++caller) {
            traffic.emplace_back([this, caller] {
                for (int count = 0; !isStopping; ++count) {
                    const stream_request request { "quote " + std::to_string(caller) + " " + std::to_string(count), 4, caller % 3 + 1, 20000, {} };
                    const bool isComplete = isWholeAnswer(streamChat(target, request), request);
                    (isComplete ? completeAnswers : incompleteAnswers) += 1;
                }
            });
        }
    }

    void endTraffic()
    {
        isStopping = true;
        for (std::thread& thread : traffic)
            thread.join();
        traffic.clear();
    }

    /// @return the state the version ended in, or "unfinished" after the rollout period.
    std::string waitForEnd() const
    {
        const std::vector<Http::header> headers { { "Authorization", "Bearer test-operator-key" } };
        const int64_t end = wallMilliseconds() + rolloutPeriodMs;
        while (wallMilliseconds() < end) {
            const auto page = json::parse(call("GET", target.nodeUrl(2) + "/operator/v1/configuration", "", headers).body, nullptr, false);
            for (const auto& version : page.value("versions", json::array())) {
                if (version["state"] != "taking_over")
                    return version["state"];
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return "unfinished";
    }

    int64_t requestsAtNewVersion() const { return target.control(target.engineUrl(3), json::object())["requests"].get<int64_t>(); }
};

TEST(RolloutBetweenNodes, AHealthyVersionTakesOverBeforeItsDeadline)
{
    startRollout();
    sendTraffic();
    STRCMP_EQUAL("current", waitForEnd().c_str());
    endTraffic();
    LONGS_EQUAL(0, incompleteAnswers);
    CHECK(requestsAtNewVersion() > 0);
}

TEST(RolloutBetweenNodes, AFailingVersionIsTakenBackAndCallersSeeNoFailure)
{
    constexpr int64_t maxRequests = 40;
    const int64_t before = requestsAtNewVersion();
    target.control(target.engineUrl(3), { { "failures", 1000000 } });
    startRollout();
    const int64_t atStart = requestsAtNewVersion();
    sendTraffic();
    STRCMP_EQUAL("taken_back", waitForEnd().c_str());
    endTraffic();
    LONGS_EQUAL(0, incompleteAnswers);
    CHECK(completeAnswers > 0);
    CHECK(before == atStart);
    CHECK(requestsAtNewVersion() - atStart <= maxRequests);
}

TEST(RolloutBetweenNodes, AFailingVersionGetsNoMoreRequestsWhileTheStoreIsDown)
{
    constexpr int64_t maxRequests = 40;
    target.control(target.engineUrl(3), { { "failures", 1000000 } });
    startRollout();
    const int64_t atStart = requestsAtNewVersion();
    target.control(target.tableUrl(), { { "down", true } });
    sendTraffic();
    std::this_thread::sleep_for(std::chrono::milliseconds(12000));
    const int64_t requestsWhenLatched = requestsAtNewVersion();
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    CHECK(requestsWhenLatched - atStart > 0 && requestsWhenLatched - atStart <= maxRequests);
    LONGS_EQUAL(requestsWhenLatched, requestsAtNewVersion());
    target.control(target.tableUrl(), { { "down", false } });
    STRCMP_EQUAL("taken_back", waitForEnd().c_str());
    endTraffic();
    LONGS_EQUAL(0, incompleteAnswers);
}
