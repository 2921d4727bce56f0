/// @file
/// What endpoints declare about themselves in their responses: that they leave, and for how long they want no requests.

#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

const std::string leavingLine = "Server-Leaving: 1\r\n";
const std::string bodyLines = "Content-Length: 5\r\n\r\nhello";

/// @return the status line and the headers of an endpoint's own response, which lacks the lines of its body.
std::string headOf(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\n";
}

/// Sends one request on a connection of its own.
std::string ask(const running_gateway& gateway, const std::string& target)
{
    raw_caller caller(gateway.port);
    caller.send(makeRequest(target));
    return caller.receive();
}

} // namespace

TEST_GROUP(EndpointDeclarations) {};

TEST(EndpointDeclarations, AnEndpointThatSaysItIsLeavingGetsNoRequestUntilItsNextStart)
{
    const std::string notExecuted = "X-Filbertreel-Not-Executed: 1\r\n";
    const std::string streamLines = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct row {
        const char* condition;
        const char* target;
        scripted_answer first; ///< First answer of the endpoint that requests prefer.
        bool isLeaving;
        int status; ///< Of the first response to the caller.
    };
    const row rows[] = {
        { "a success", "/once/x", { answerHead + leavingLine + bodyLines }, true, 200 },
        { "another spelling of the name", "/idem/x", { answerHead + "server-leaving:1\r\n" + bodyLines }, true, 200 },
        { "the head of a stream", "/stream/x", { answerHead + leavingLine + streamLines + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" }, true, 200 },
        { "a stream that breaks off", "/resume/x", { answerHead + leavingLine + streamLines + chunk("id: 1"), answer_end::Close }, true, 502 },
        { "an error", "/once/x", { headOf(500) + leavingLine + bodyLines }, true, 500 },
        { "an error status of the caller's", "/once/x", { headOf(404) + leavingLine + bodyLines }, true, 404 },
        { "a refusal", "/once/x", { headOf(503) + notExecuted + leavingLine + bodyLines }, true, 200 },
        { "a refusal that names no request", "/once/x", { "HTTP/1.1 503 Busy\r\n" + notExecuted + leavingLine + bodyLines }, true, 502 },
        { "a response that breaks off", "/once/x", { answerHead + leavingLine + "Content-Length: 9\r\n\r\nhello", answer_end::Close }, true, 502 },
        { "no word of it", "/once/x", { answerHead + bodyLines }, false, 200 },
        { "another endpoint at the address", "/once/x", { headOf(421) + notExecuted + leavingLine + bodyLines }, false, 200 },
        { "a response to another request", "/once/x", { "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: other\r\nX-Filbertreel-Server-Seal: s.1\r\n" + leavingLine + bodyLines }, false, 502 },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.first, { completeAnswer } }, { { completeAnswer } } });
        const std::string answer = ask(gateway, item.target);
        CHECK_EQUAL_TEXT(item.status, statusOf(answer), item.condition);
        if (item.isLeaving && item.status == 200 && gateway.endpoints[1]->requests().empty())
            CHECK_TEXT(answer.find("erver-") != std::string::npos && answer.find("eaving:") != std::string::npos, item.condition);
        gateway.sendListing();
        for (int request = 0; request < 3; ++request)
            CHECK_EQUAL_TEXT(200, statusOf(ask(gateway, "/once/x")), item.condition);
        CHECK_EQUAL_TEXT(item.isLeaving ? 1 : 4, gateway.endpoints[0]->requests().size(), item.condition);
        gateway.listed.at({ "e1" }).started = { 2 };
        gateway.sendListing();
        const size_t earlier = gateway.endpoints[0]->requests().size();
        CHECK_EQUAL_TEXT(200, statusOf(ask(gateway, "/once/x")), item.condition);
        CHECK_EQUAL_TEXT(earlier + 1, gateway.endpoints[0]->requests().size(), item.condition);
    }
}

TEST(EndpointDeclarations, AnEndpointThatLeftStaysLeavingWhenItsEntryDisappearsAndReturns)
{
    running_gateway gateway({ { { answerHead + leavingLine + bodyLines } }, { { completeAnswer } } });
    CHECK_EQUAL(200, statusOf(ask(gateway, "/once/x")));
    const Fleet::endpoint left = gateway.listed.at({ "e1" });
    gateway.listed.erase(left.id);
    gateway.sendListing();
    gateway.listed[left.id] = left;
    gateway.sendListing();
    CHECK_EQUAL(200, statusOf(ask(gateway, "/once/x")));
    CHECK_EQUAL(1, gateway.endpoints[0]->requests().size());
}

TEST(EndpointDeclarations, AnEndpointThatTurnsRequestsAwayGetsNoneUntilItsRetryAfterHasPassed)
{
    const std::string notExecuted = "X-Filbertreel-Not-Executed: 1\r\n";
    const std::string otherId = "HTTP/1.1 503 Busy\r\nX-Filbertreel-Attempt-Id: other\r\n";
    struct row {
        const char* condition;
        std::string head; ///< Of the first response of the endpoint that requests prefer.
        milliseconds backoff; ///< How long it gets no requests; longer ones than maxObserved are not waited for.
    };
    constexpr milliseconds maxObserved { 1000 };
    constexpr milliseconds unlimited { 600'000 };
    const row rows[] = {
        { "a fraction of a second", headOf(503) + notExecuted + "Retry-After: 0.6\r\n", milliseconds(600) },
        { "a whole second", headOf(503) + notExecuted + "Retry-After: 1\r\n", milliseconds(1000) },
        { "names no request", "HTTP/1.1 503 Busy\r\n" + notExecuted + "Retry-After: 0.6\r\n", milliseconds(600) },
        { "does not say that it has not run", headOf(503) + "Retry-After: 0.6\r\n", milliseconds(600) },
        { "far too long", headOf(503) + notExecuted + "Retry-After: 99999999999999999999\r\n", unlimited },
        { "longer than a number holds", headOf(503) + notExecuted + "Retry-After: 1e999\r\n", unlimited },
        { "no Retry-After", headOf(503) + notExecuted, milliseconds(0) },
        { "zero", headOf(503) + notExecuted + "Retry-After: 0\r\n", milliseconds(0) },
        { "negative", headOf(503) + notExecuted + "Retry-After: -5\r\n", milliseconds(0) },
        { "a date", headOf(503) + notExecuted + "Retry-After: Fri, 04 Dec 2026 14:00:00 GMT\r\n", milliseconds(0) },
        { "not a number", headOf(503) + notExecuted + "Retry-After: nan\r\n", milliseconds(0) },
        { "another status", headOf(500) + "Retry-After: 5\r\n", milliseconds(0) },
        { "another endpoint at the address", headOf(421) + notExecuted + "Retry-After: 5\r\n", milliseconds(0) },
        { "a response to another request", otherId + notExecuted + "Retry-After: 5\r\n", milliseconds(0) },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { { item.head + bodyLines }, { completeAnswer } }, { { completeAnswer } } });
        const auto firstArrivals = [&gateway] { return gateway.endpoints[0]->requests().size(); };
        ask(gateway, "/idem/x");
        const auto answeredAt = std::chrono::steady_clock::now();
        for (const char* target : { "/once/x", "/idem/x" })
            CHECK_EQUAL_TEXT(200, statusOf(ask(gateway, target)), item.condition);
        CHECK_EQUAL_TEXT(item.backoff.count() > 0 ? 1 : 3, firstArrivals(), item.condition);
        if (item.backoff > maxObserved)
            continue;
        std::this_thread::sleep_until(answeredAt + item.backoff);
        const size_t earlier = firstArrivals();
        CHECK_EQUAL_TEXT(200, statusOf(ask(gateway, "/once/x")), item.condition);
        CHECK_EQUAL_TEXT(earlier + 1, firstArrivals(), item.condition);
    }
}

TEST(EndpointDeclarations, ANewStartOfAnEndpointEndsItsBackoff)
{
    running_gateway gateway({ { { headOf(503) + "X-Filbertreel-Not-Executed: 1\r\nRetry-After: 30\r\n" + bodyLines }, { completeAnswer } } });
    CHECK_EQUAL(503, statusOf(ask(gateway, "/once/x")));
    gateway.sendListing();
    CHECK_EQUAL(503, statusOf(ask(gateway, "/once/x")));
    gateway.listed.at({ "e1" }).started = { 2 };
    gateway.sendListing();
    CHECK_EQUAL(200, statusOf(ask(gateway, "/once/x")));
}

TEST(EndpointDeclarations, CallersAreToldWhenAnEndpointWantsRequestsAgain)
{
    struct row {
        const char* condition;
        std::vector<std::string> backoffs; ///< Retry-After of each endpoint; "" for one that serves.
        double retryAfter; ///< What the caller is told, at most; zero if it is served.
    };
    // The caller's time budget is 1.2 seconds.
    const row rows[] = {
        { "the only endpoint", { "3" }, 3 },
        { "shorter than the usual answer to a refusal", { "0.3" }, 0.3 },
        { "the first of two", { "3", "2" }, 2 },
        { "another endpoint serves", { "3", "" }, 0 },
    };
    for (const row& item : rows) {
        std::vector<std::vector<scripted_answer>> scripts;
        for (const std::string& backoff : item.backoffs)
            scripts.push_back({ { backoff.empty() ? completeAnswer : headOf(503) + "X-Filbertreel-Not-Executed: 1\r\nRetry-After: " + backoff + "\r\n" + bodyLines } });
        running_gateway gateway(scripts);
        const auto wantedAgain = std::chrono::steady_clock::now() + std::chrono::duration<double>(item.retryAfter);
        for (int request = 0; request < 4; ++request) {
            const auto sentAt = std::chrono::steady_clock::now();
            const std::string answer = ask(gateway, "/once/x");
            CHECK_EQUAL_TEXT(item.retryAfter > 0 ? 503 : 200, statusOf(answer), item.condition);
            if (item.retryAfter <= 0)
                continue;
            const size_t found = answer.find("Retry-After: ");
            CHECK_TEXT(found != std::string::npos, item.condition);
            const double retryAfter = std::stod(answer.substr(found + 13));
            const auto now = std::chrono::steady_clock::now();
            CHECK_TEXT(retryAfter <= item.retryAfter, item.condition);
            CHECK_TEXT(now + std::chrono::duration<double>(retryAfter) >= wantedAgain, item.condition);
            CHECK_TEXT(now - sentAt < milliseconds(1000), item.condition);
        }
        for (size_t index = 0; index < item.backoffs.size(); ++index)
            CHECK_EQUAL_TEXT(item.backoffs[index].empty() ? 4 : 1, gateway.endpoints[index]->requests().size(), item.condition);
    }
}
