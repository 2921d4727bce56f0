/// @file
/// Requests through the gateway, with callers and endpoints that violate the protocol.

#include "Common/Metrics.h"
#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>
#include <sstream>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

/// @return the requests of a route that this process has ended, over all outcomes.
uint64_t countEndedRequests(const std::string& route)
{
    const std::string start = "filbertreel_requests_total{route=\"" + route + "\"";
    std::istringstream lines(Common::printMetrics());
    uint64_t count = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(start))
            count += std::stoull(line.substr(line.rfind(' ') + 1));
    }
    return count;
}

/// @return the text of a chunked body, as far as its chunks are complete.
std::string textOfChunks(const std::string& answer)
{
    std::string text;
    size_t at = answer.find("\r\n\r\n") + 4;
    for (size_t end = answer.find("\r\n", at); end != std::string::npos; end = answer.find("\r\n", at)) {
        const size_t size = std::stoul(answer.substr(at, end - at), nullptr, 16);
        text += answer.substr(end + 2, size);
        at = end + 2 + size + 2;
    }
    return text;
}

} // namespace

TEST_GROUP(PlatformGateway) {};

TEST(PlatformGateway, ARequestIsForwardedByteForByteWithoutForgedHeaders)
{
    running_gateway gateway({ { { completeAnswer, answer_end::Keep } } });
    raw_caller caller(gateway.port);
    caller.send(makeRequest("/once/a%2Fb/../c?x=1&&y=%20", "X-Filbertreel-Tenant: forged\r\nX-Filbertreel-Hold: h\r\nX-Free: 1\r\n", "b\r\n\0dy"));
    const std::string answer = caller.receive();
    CHECK_EQUAL(200, statusOf(answer));
    CHECK(answer.ends_with("hello"));
    const std::string request = gateway.endpoints[0]->requests().at(0);
    CHECK(request.starts_with("POST /once/a%2Fb/../c?x=1&&y=%20 HTTP/1.1\r\n"));
    CHECK(request.find("X-Filbertreel-Tenant: clerks\r\n") != std::string::npos);
    CHECK(request.find("X-Filbertreel-Expect-Instance: e1\r\n") != std::string::npos);
    CHECK(request.find("X-Free: 1\r\n") != std::string::npos);
    for (const char* absent : { "forged", "X-Filbertreel-Hold", "Bearer", "k1" })
        CHECK(request.find(absent) == std::string::npos);
}

TEST(PlatformGateway, TheStatusSaysWhetherTheEndpointAnsweredTheRequest)
{
    struct row {
        const char* condition;
        const char* target;
        std::vector<scripted_answer> script; ///< Answers of the only endpoint, in order.
        int status;
        size_t arrivals;
    };
    const row rows[] = {
        { "no seal", "/once/x", { { "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nContent-Length: 2\r\n\r\nhi" } }, 502, 1 },
        { "attempt id of another request", "/once/x", { { "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: other\r\nX-Filbertreel-Server-Seal: s\r\nContent-Length: 2\r\n\r\nhi" } }, 502, 1 },
        { "not HTTP", "/once/x", { { "garbage\r\n\r\n", answer_end::Close } }, 502, 1 },
        { "reset before an answer", "/once/x", { { "", answer_end::Reset } }, 502, 1 },
        { "body shorter than its length", "/once/x", { { answerHead + "Content-Length: 9\r\n\r\nhello", answer_end::Close } }, 502, 1 },
        { "no length, connection closed", "/once/x", { { answerHead + "\r\nhello", answer_end::Close } }, 200, 1 },
        { "no length, connection reset", "/once/x", { { answerHead + "\r\nhello", answer_end::Reset } }, 502, 1 },
        { "failure answered by the endpoint", "/once/x", { { failedAnswer } }, 500, 1 },
        { "no answer in time", "/once/x", { { "", answer_end::Wait } }, 504, 1 },
        { "100 Continue before the answer", "/once/x", { { "HTTP/1.1 100 Continue\r\n\r\n" + completeAnswer } }, 200, 1 },
    };
    for (const row& item : rows) {
        running_gateway gateway({ item.script });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(item.target));
        CHECK_EQUAL_TEXT(item.status, statusOf(caller.receive()), item.condition);
        CHECK_EQUAL_TEXT(item.arrivals, gateway.arrivals(), item.condition);
    }
}

TEST(PlatformGateway, OnlyIdempotentOrUnexecutedRequestsAreRetried)
{
    struct row {
        const char* condition;
        const char* target;
        scripted_answer first;
        int status;
        size_t arrivals;
    };
    const row rows[] = {
        { "not executed, at most once", "/once/x", { notExecutedAnswer }, 200, 2 },
        { "reset, at most once", "/once/x", { "", answer_end::Reset }, 502, 1 },
        { "reset, idempotent", "/idem/x", { "", answer_end::Reset }, 200, 2 },
        { "failed, idempotent", "/idem/x", { failedAnswer }, 200, 2 },
        { "failed, at most once", "/once/x", { failedAnswer }, 500, 1 },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.first, { completeAnswer } }, { { completeAnswer } } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(item.target));
        CHECK_EQUAL_TEXT(item.status, statusOf(caller.receive()), item.condition);
        CHECK_EQUAL_TEXT(item.arrivals, gateway.arrivals(), item.condition);
    }
}

TEST(PlatformGateway, AnIncompleteStreamIsNeverEndedAsComplete)
{
    const std::string first = chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda");
    const std::string rest = chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";
    struct row {
        const char* condition;
        const char* target;
        scripted_answer first;
        scripted_answer second;
        bool isComplete;
        const char* text; ///< Must be in the answer.
    };
    const row rows[] = {
        { "complete", "/stream/x", { streamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" }, { "" }, true, "data: a" },
        { "closed midway", "/stream/x", { streamHead + first, answer_end::Close }, { completeAnswer }, false, "data: a" },
        { "reset midway", "/stream/x", { streamHead + first, answer_end::Reset }, { completeAnswer }, false, "" },
        { "ends inside an event", "/stream/x", { streamHead + first + "0\r\n\r\n" }, { completeAnswer }, false, "data: a" },
        { "resumed", "/resume/x", { streamHead + first, answer_end::Close }, { streamHead + rest }, true, "data: c" },
        { "resumed, second endpoint fails", "/resume/x", { streamHead + first, answer_end::Close }, { failedAnswer }, false, "data: a" },
        { "resumed, second endpoint refuses", "/resume/x", { streamHead + first, answer_end::Close }, { notExecutedAnswer }, false, "data: a" },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.first }, { item.second } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(item.target));
        const std::string answer = caller.receive();
        CHECK_EQUAL_TEXT(item.isComplete, isComplete(answer), item.condition);
        CHECK_TEXT(answer.find(item.text) != std::string::npos, item.condition);
        if (std::string(item.condition) != "resumed")
            continue;
        CHECK(gateway.endpoints[1]->requests().at(0).find("Last-Event-Id: 1\r\n") != std::string::npos);
        CHECK_EQUAL(answer.find("data: b"), answer.rfind("data: b"));
    }
}

TEST(PlatformGateway, AStreamThatEndsWithItsConnectionIsCompleteOnlyAfterAWholeEvent)
{
    const std::string head = answerHead + "Content-Type: text/event-stream\r\n\r\n";
    const std::string one = "id: 1\ndata: a\n\n";
    const std::string two = "id: 2\ndata: b\n\n";
    const std::string lastChunk = "0\r\n\r\n";
    struct row {
        const char* condition;
        const char* target;
        scripted_answer first;
        scripted_answer second; ///< Of the next endpoint.
        std::string received; ///< What follows the head of the response to the caller, without the framing of chunks.
        bool isComplete;
        size_t arrivals;
    };
    const scripted_answer unused { completeAnswer };
    const row rows[] = {
        { "closed after a whole event", "/stream/x", { head + one + two, answer_end::Close }, unused, one + two, true, 1 },
        { "closed inside an event", "/stream/x", { head + one + "id: 2\nda", answer_end::Close }, unused, one, false, 1 },
        { "closed before the blank line", "/stream/x", { head + one + "id: 2\ndata: b\n", answer_end::Close }, unused, one, false, 1 },
        { "reset inside an event", "/stream/x", { head + one + "id: 2\nda", answer_end::Reset }, unused, one, false, 1 },
        { "reset after a whole event", "/stream/x", { head + one + two, answer_end::Reset }, unused, one + two, false, 1 },
        { "closed after a whole event, resumable", "/resume/x", { head + one + two, answer_end::Close }, unused, one + two, true, 1 },
        { "continued after a close inside an event", "/resume/x", { head + one + "id: 2\nda", answer_end::Close }, { head + two, answer_end::Close }, one + two, true, 2 },
        { "continued, chunked", "/resume/x", { head + one + "id: 2\nda", answer_end::Close }, { streamHead + chunk(two) + lastChunk }, one + two, true, 2 },
        { "continued, and closed inside an event again", "/resume/x", { head + one + "id: 2\nda", answer_end::Close }, { head + "id: 2\ndata", answer_end::Close }, one, false, 2 },
        { "closed inside the first event", "/stream/x", { head + "id: 1\nda", answer_end::Close }, unused, "", false, 1 },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.first }, { item.second } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(item.target));
        const std::string answer = caller.receive();
        CHECK_EQUAL_TEXT(item.arrivals, gateway.arrivals(), item.condition);
        // A reset may discard what was sent before it.
        const bool mayLackBytes = item.first.end == answer_end::Reset;
        if (item.received.empty() || (mayLackBytes && statusOf(answer) != 200)) {
            CHECK_EQUAL_TEXT(502, statusOf(answer), item.condition);
            continue;
        }
        CHECK_EQUAL_TEXT(200, statusOf(answer), item.condition);
        CHECK_TEXT(answer.find("Transfer-Encoding: chunked\r\n") != std::string::npos, item.condition);
        CHECK_EQUAL_TEXT(item.isComplete, isComplete(answer), item.condition);
        const std::string received = textOfChunks(answer);
        CHECK_TEXT(mayLackBytes ? item.received.starts_with(received) : received == item.received, item.condition);
    }
}

TEST(PlatformGateway, AmbiguousRequestsAreRejectedWithoutForwarding)
{
    const std::string hidden = "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: id9\r\n\r\n";
    struct row {
        const char* condition;
        std::string bytes;
    };
    const row rows[] = {
        { "Content-Length and chunked", "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden },
        { "two Content-Length lines", "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nContent-Length: 90\r\n\r\nbody" + hidden },
        { "unknown transfer coding", "POST /once/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: xchunked\r\n\r\n" + hidden },
        { "bare line feeds", "POST /once/x HTTP/1.1\nHost: h.example\nContent-Length: 0\n\n" },
        { "space before the colon", "POST /once/x HTTP/1.1\r\nHost : h.example\r\nContent-Length: 0\r\n\r\n" },
        { "no host", "POST /once/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n" },
        { "two hosts", "POST /once/x HTTP/1.1\r\nHost: h.example\r\nHost: g.example\r\nContent-Length: 0\r\n\r\n" },
        { "target without a path", "POST h.example HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n" },
        { "not HTTP", "\x16\x03\x01 nonsense\r\n\r\n" },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { { completeAnswer } } });
        raw_caller caller(gateway.port);
        caller.send(item.bytes);
        CHECK_EQUAL_TEXT(400, statusOf(caller.receive()), item.condition);
        CHECK_EQUAL_TEXT(0, gateway.arrivals(), item.condition);
    }
}

TEST(PlatformGateway, EachReasonForARefusalHasItsStatus)
{
    struct row {
        const char* condition;
        std::string bytes;
        bool hasCatalog;
        int status;
    };
    const row rows[] = {
        { "unknown key", makeRequest("/once/x", "", "body", "k9"), true, 401 },
        { "unknown route", makeRequest("/none/x"), true, 404 },
        { "no catalog yet", makeRequest("/once/x"), false, 503 },
        { "head over the limit", makeRequest("/once/x", "X-Long: " + std::string(20000, 'x') + "\r\n"), true, 431 },
        { "body over the limit", "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n", true, 413 },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { { completeAnswer } } }, item.hasCatalog);
        raw_caller caller(gateway.port);
        caller.send(item.bytes);
        const std::string answer = caller.receive();
        CHECK_EQUAL_TEXT(item.status, statusOf(answer), item.condition);
        CHECK_EQUAL_TEXT(item.status == 503, answer.find("Retry-After") != std::string::npos, item.condition);
        CHECK_EQUAL_TEXT(0, gateway.arrivals(), item.condition);
    }
}

TEST(PlatformGateway, ACallersDisconnectClosesTheEndpointConnection)
{
    for (const char* target : { "/once/x", "/stream/x" }) {
        running_gateway gateway({ { { "", answer_end::Wait } } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(target));
        while (gateway.arrivals() == 0)
            std::this_thread::sleep_for(milliseconds(5));
        caller.close();
        for (int tries = 0; tries < 100 && gateway.endpoints[0]->abandoned() == 0; ++tries)
            std::this_thread::sleep_for(milliseconds(10));
        CHECK_EQUAL(1, gateway.endpoints[0]->abandoned());
    }
}

TEST(PlatformGateway, BytesAfterACompleteAnswerAreDiscarded)
{
    const std::string stray = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: id7\r\nX-Filbertreel-Server-Seal: s\r\nContent-Length: 5\r\n\r\nstray";
    running_gateway gateway({ { { completeAnswer + stray, answer_end::Keep } } });
    for (int request = 0; request < 3; ++request) {
        raw_caller caller(gateway.port);
        caller.send(makeRequest("/idem/x"));
        CHECK(caller.receive().ends_with("hello"));
    }
}

TEST(PlatformGateway, ResponsesCloseTheirConnectionOnceTheLeaveIsReported)
{
    // The gateway's thread is busy when the node is told to leave. A caller that learns of the leave must get
    // "Connection: close" although the message was delayed.
    std::atomic<bool> isHeldUp { false };
    std::atomic<bool> hasReportedLeave { false };
    Gateway::gateway_outlets outlets;
    outlets.report = [&isHeldUp](Gateway::interval_report&&) {
        if (isHeldUp)
            std::this_thread::sleep_for(milliseconds(300));
    };
    outlets.leaveStarted = [&hasReportedLeave] { hasReportedLeave = true; };
    running_gateway gateway({ { { completeAnswer, answer_end::Keep } } }, true, outlets);
    raw_caller kept(gateway.port);
    kept.send(makeRequest("/idem/x"));
    CHECK(kept.receive().find("Connection: close") == std::string::npos);
    isHeldUp = true;
    std::this_thread::sleep_for(milliseconds(260));
    CHECK(gateway.duty->submit(Gateway::leave_started {}));
    while (!hasReportedLeave)
        std::this_thread::sleep_for(milliseconds(1));
    kept.send(makeRequest("/idem/x"));
    const std::string answer = kept.receive();
    CHECK_EQUAL(200, statusOf(answer));
    CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST(PlatformGateway, EndlessAnswersAreEndedAtOnceAndTheEndpointIsNotReused)
{
    // The endpoint sends the second part of its script again and again until the gateway closes the connection.
    const std::string junk(16384, 'x');
    struct row {
        const char* condition;
        const char* target;
        std::string start;
        std::string repeated;
        int status; ///< Zero: the stream breaks off.
    };
    const row rows[] = {
        { "a head line without end", "/once/x", "HTTP/1.1 200 OK\r\nX-Long: ", junk, 502 },
        { "header lines without end", "/once/x", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", 502 },
        { "no HTTP at all", "/once/x", "", junk, 502 },
        { "informational heads without end", "/once/x", "", "HTTP/1.1 100 Continue\r\n\r\n", 502 },
        { "a body without length or end", "/once/x", answerHead + "\r\n", junk, 502 },
        { "chunks without end", "/once/x", answerHead + "Transfer-Encoding: chunked\r\n\r\n", chunk(junk), 502 },
        { "a failure without end", "/once/x", "HTTP/1.1 500 Oops\r\n\r\n", junk, 502 },
        { "a chunk extension without end", "/once/x", answerHead + "Transfer-Encoding: chunked\r\n\r\n5;", junk, 502 },
        { "an event without end", "/stream/x", streamHead, chunk(junk), 502 },
        { "an event without end after a sound one", "/stream/x", streamHead + chunk("id: 1\ndata: a\n\n"), chunk(junk), 0 },
        { "an event without end, idempotent", "/idem/x", answerHead + "\r\n", junk, 200 },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { { item.start, answer_end::Endless, item.repeated } }, { { completeAnswer } } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(item.target));
        const std::string answer = caller.receive();
        if (item.status == 0) {
            CHECK_TEXT(answer.find("data: a") != std::string::npos, item.condition);
            CHECK_TEXT(!isComplete(answer), item.condition);
        } else {
            CHECK_EQUAL_TEXT(item.status, statusOf(answer), item.condition);
        }
        for (int tries = 0; tries < 100 && gateway.endpoints[0]->abandoned() == 0; ++tries)
            std::this_thread::sleep_for(milliseconds(10));
        CHECK_EQUAL_TEXT(1, gateway.endpoints[0]->abandoned(), item.condition);
        // The end of the request would have been 504 and only after its time budget.
        CHECK_TEXT(gateway.endpoints[0]->bytesSent() < 64U * 1024 * 1024, item.condition);
    }
}

TEST(PlatformGateway, AResponseAsLongAsTheLimitOfABodyIsForwardedWhole)
{
    const std::string body(Catalog::input_limits {}.bodyBytes, 'b');
    running_gateway gateway({ { { answerHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body } } });
    raw_caller caller(gateway.port);
    caller.send(makeRequest("/once/x"));
    const std::string answer = caller.receive();
    CHECK_EQUAL(200, statusOf(answer));
    CHECK(answer.ends_with("\r\n\r\n" + body));
}

TEST(PlatformGateway, ACallerThatStopsReadingAStreamEndsItsRequestOnce)
{
    const std::string event = chunk("data: " + std::string(16384, 'x') + "\n\n");
    running_gateway gateway({ { { streamHead, answer_end::Endless, event } } });
    const uint64_t endedBefore = countEndedRequests("/stream/");
    raw_caller caller(gateway.port);
    caller.send(makeRequest("/stream/x"));
    for (int tries = 0; tries < 150 && gateway.endpoints[0]->abandoned() == 0; ++tries)
        std::this_thread::sleep_for(milliseconds(10));
    CHECK_EQUAL(1, gateway.endpoints[0]->abandoned());
    CHECK_EQUAL(0, gateway.duty->inFlight());
    CHECK_EQUAL(endedBefore + 1, countEndedRequests("/stream/"));
}
