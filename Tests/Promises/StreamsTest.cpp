/// @file
/// The answer to an accepted model request is complete although engines and nodes fail.

#include "Harness/Callers.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace {

using namespace Harness;

constexpr uint64_t tokensBeforeFailure = 8;

cluster_settings makeSettings()
{
    cluster_settings settings;
    settings.basePort = 23000;
    settings.nodeOptions = { "--address-ttl", "500", "--notice", "8000" };
    settings.engineOptions = { "--token-ms", "15" };
    return settings;
}

/// @return the number of an engine that is serving a request; 1 when none is.
int busyEngine(const cluster& target)
{
    for (int number = 1; number <= target.settings().engines; ++number) {
        const auto page = target.control(target.engineUrl(number), nlohmann::json::object());
        if (page.is_object() && page["running"].get<int>() > 0)
            return number;
    }
    return 1;
}

/// Streams one request and calls failure once, when tokensBeforeFailure tokens have arrived.
stream_result streamWithFailure(cluster& target, stream_request& request, const std::function<void()>& failure)
{
    bool hasCausedFailure = false;
    request.onToken = [&](uint64_t tokens) {
        if (tokens < tokensBeforeFailure || hasCausedFailure)
            return;
        hasCausedFailure = true;
        failure();
    };
    return streamChat(target, request);
}

} // namespace

TEST_GROUP(Streams)
{
    cluster target { makeSettings() };
    stream_request request { "Crates 14 to 20, chipped rims", 80, 1, 30000, {} };

    void setup() override { target.start(); }

    /// Fails the test unless the answer has all requested tokens.
    void checkComplete(const stream_result& result) const
    {
        STRCMP_EQUAL("", result.error.c_str());
        CHECK(isWholeAnswer(result, request));
    }
};

TEST(Streams, AStreamIsCompleteWhenItsEngineIsKilled)
{
    checkComplete(streamWithFailure(target, request, [this] { killProcess(target.engine(busyEngine(target))); }));
}

TEST(Streams, AStreamIsCompleteWhenTwoOfItsEnginesAreKilled)
{
    int kills = 0;
    request.onToken = [&](uint64_t tokens) {
        if (tokens % 25 != 0 || kills == 2)
            return;
        ++kills;
        killProcess(target.engine(busyEngine(target)));
    };
    checkComplete(streamChat(target, request));
    LONGS_EQUAL(2, kills);
}

TEST(Streams, AStreamIsCompleteAfterAnOutageOfAllEngines)
{
    std::atomic<bool> isTestDone { false };
    std::thread restart;
    const stream_result result = streamWithFailure(target, request, [&] {
        for (int number = 1; number <= 3; ++number)
            killProcess(target.engine(number));
        restart = std::thread([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
            target.startEngine(2);
            // A child process is killed when the thread that started it ends.
            while (!isTestDone)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        });
    });
    isTestDone = true;
    restart.join();
    checkComplete(result);
}

TEST(Streams, AStreamIsCompleteWhenItsEngineStallsAndIgnoresTheCancel)
{
    checkComplete(streamWithFailure(target, request, [this] {
        const int number = busyEngine(target);
        target.control(target.engineUrl(number), { { "stalled", true }, { "ignore_cancel", true } });
        std::thread([this, number] {
            std::this_thread::sleep_for(std::chrono::milliseconds(3000));
            target.control(target.engineUrl(number), { { "stalled", false } });
        }).detach();
    }));
    int requests = 0;
    for (int number = 1; number <= 3; ++number)
        requests += target.control(target.engineUrl(number), nlohmann::json::object())["requests"].get<int>();
    LONGS_EQUAL(2, requests);
}

TEST(Streams, AStreamIsCompleteWhenItsEngineSendsInvalidEvents)
{
    checkComplete(streamWithFailure(target, request, [this] { target.control(target.engineUrl(busyEngine(target)), { { "nonsense", true } }); }));
}

TEST(Streams, AStreamIsCompleteWhenEveryEngineFailsItsFirstRequest)
{
    for (int number = 1; number <= 3; ++number)
        target.control(target.engineUrl(number), { { "failures", 1 } });
    checkComplete(streamChat(target, request));
}

TEST(Streams, AStreamIsFinishedByAPeerWhenItsNodeIsReclaimed)
{
    // The stream takes longer than the notice, so only a peer can finish it.
    request.tokens = 700;
    const stream_result result = streamWithFailure(target, request, [this] { signalProcess(target.node(1), SIGTERM); });
    checkComplete(result);
    CHECK(result.reconnects > 0);
    LONGS_EQUAL(0, waitForExit(target.node(1), 10000));
}

TEST(Streams, AStreamIsCompleteWhenItsNodeIsKilledDuringItsNotice)
{
    request.tokens = 400;
    checkComplete(streamWithFailure(target, request, [this] {
        signalProcess(target.node(1), SIGTERM);
        std::thread([this] {
            std::this_thread::sleep_for(std::chrono::milliseconds(4000));
            killProcess(target.node(1));
        }).detach();
    }));
}

TEST(Streams, AStreamIsCompleteWhenItsNodeIsReclaimedInAStoreOutage)
{
    request.tokens = 300;
    checkComplete(streamWithFailure(target, request, [this] {
        target.control(target.tableUrl(), { { "down", true } });
        signalProcess(target.node(1), SIGTERM);
    }));
}

TEST(Streams, ACallerResumingAtAnotherNodeIsRedirectedToItsAnswer)
{
    request.timeLimitMilliseconds = 700;
    stream_result first = streamChat(target, request);
    CHECK(first.isAccepted && !first.isFinished);
    const std::string url = target.nodeUrl(2) + "/v1/requests/" + first.requestId + "?stream=false&after=0";
    const std::vector<Http::header> headers { { "Authorization", "Bearer " + target.accountKey() } };
    const http_answer redirect = call("GET", url, "", headers);
    LONGS_EQUAL(307, redirect.status);
    const http_answer completeAnswer = call("GET", redirect.redirectUrl, "", headers);
    LONGS_EQUAL(200, completeAnswer.status);
    const auto body = nlohmann::json::parse(completeAnswer.body);
    LONGS_EQUAL(request.tokens, body["usage"]["completion_tokens"].get<uint64_t>());
}

TEST(Streams, AnUnstreamedAnswerOfALeavingNodeIsReachedByRedirect)
{
    const nlohmann::json body { { "model", "inspection-summary" }, { "max_tokens", 300 }, { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", "x" } } }) } };
    const std::vector<Http::header> headers { { "Authorization", "Bearer " + target.accountKey() } };
    std::thread stop([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        signalProcess(target.node(1), SIGTERM);
    });
    const http_answer redirect = call("POST", target.nodeUrl(1) + "/v1/chat/completions", body.dump(), headers, 20000);
    stop.join();
    LONGS_EQUAL(303, redirect.status);
    const http_answer completeAnswer = call("GET", redirect.redirectUrl, "", headers, 20000);
    LONGS_EQUAL(200, completeAnswer.status);
    LONGS_EQUAL(300, nlohmann::json::parse(completeAnswer.body)["usage"]["completion_tokens"].get<int>());
}

TEST(Streams, ACallersDisconnectCancelsTheWorkAtTheEngine)
{
    request.tokens = 2000;
    request.timeLimitMilliseconds = 500;
    streamChat(target, request);
    bool isCancelled = false;
    for (int poll = 0; poll < 100 && !isCancelled; ++poll) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        int running = 0;
        for (int number = 1; number <= 3; ++number)
            running += target.control(target.engineUrl(number), nlohmann::json::object())["running"].get<int>();
        isCancelled = running == 0;
    }
    CHECK(isCancelled);
}

TEST(Streams, ALeavingEngineGetsNoNewWorkWhileTheListLags)
{
    target.control(target.cloudUrl(), { { "lag_ms", 60000 } });
    target.control(target.engineUrl(1), { { "leaving", true } });
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    const auto before = target.control(target.engineUrl(1), nlohmann::json::object())["requests"];
    request.tokens = 3;
    for (int round = 0; round < 12; ++round) {
        request.firstNode = round % 3 + 1;
        // Each round has a different prompt, so that prefix affinity does not keep the requests at one engine.
        request.prompt = "crates " + std::to_string(round);
        checkComplete(streamChat(target, request));
    }
    CHECK(before == target.control(target.engineUrl(1), nlohmann::json::object())["requests"]);
}
