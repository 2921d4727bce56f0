/// @file
/// Responses of endpoints that break off, or that send a second copy late: no byte of one attempt may reach the caller
/// as part of another.

#include "Http/Client.h"
#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;

/// @return the body of the response to a GET request.
std::string fetchOnOwnConnection(Http::client& client, const std::string& url)
{
    Http::outgoing_request request;
    request.url = url;
    request.mayShareConnection = false;
    std::string body;
    client.start(std::move(request), [&body](Http::transfer_answer&& answer) { body = answer.body; });
    while (client.active() > 0)
        client.poll(std::chrono::milliseconds(50));
    return body;
}

} // namespace

TEST_GROUP(AttemptSeparation) {};

TEST(AttemptSeparation, ARetriedStreamHoldsNoBytesOfAnAttemptThatBrokeOffInsideItsFirstEvent)
{
    const std::string lastChunk = "0\r\n\r\n";
    const std::string whole = chunk("id: 1\ndata: second\n\n") + chunk("id: 2\ndata: end\n\n") + lastChunk;
    const std::string continued = chunk("id: 8\ndata: second\n\n") + lastChunk;
    struct row {
        const char* condition;
        const char* requestLines; ///< Further header lines of the caller.
        scripted_answer first;
        std::string second; ///< Body of the next endpoint's response, which the caller must get unchanged.
    };
    const row rows[] = {
        { "inside the id line", "", { streamHead + chunk("id"), answer_end::Close }, whole },
        { "after the id line", "", { streamHead + chunk("id: 1\n"), answer_end::Close }, whole },
        { "inside the data line", "", { streamHead + chunk("id: 1\ndata: fir"), answer_end::Close }, whole },
        { "before the blank line", "", { streamHead + chunk("id: 1\ndata: first\n"), answer_end::Close }, whole },
        { "ended as complete", "", { streamHead + chunk("id: 1\ndata: fir") + lastChunk }, whole },
        { "without length or chunks", "", { answerHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: fir", answer_end::Close }, whole },
        { "stream continued by the caller", "Last-Event-Id: 7\r\n", { streamHead + chunk("id: 8\ndata: fir"), answer_end::Close }, continued },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.first }, { { streamHead + item.second } } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest("/resume/x", item.requestLines));
        const std::string answer = caller.receive();
        CHECK_EQUAL_TEXT(2, gateway.arrivals(), item.condition);
        CHECK_TEXT(answer.ends_with("\r\n\r\n" + item.second), item.condition);
    }
}

TEST(AttemptSeparation, AStreamContinuesAtAnotherEndpointOnlyWhereItsCallersPositionIsKnown)
{
    const std::string lastChunk = "0\r\n\r\n";
    const std::string three = chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") + lastChunk;
    const std::string notExecuted = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nX-Filbertreel-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct row {
        const char* condition;
        const char* target;
        const char* requestLines;
        scripted_answer first;
        std::string second;
        std::string body; ///< What the caller gets; empty: the answer breaks off.
    };
    const row rows[] = {
        { "events with ids", "/resume/x", "", { streamHead + chunk("id: 1\ndata: a\n\n"), answer_end::Close }, streamHead + three, three },
        { "events without ids", "/resume/x", "", { streamHead + chunk("data: a\n\n"), answer_end::Close }, streamHead + chunk("data: a\n\n") + lastChunk, "" },
        { "an event without an id after one with an id", "/resume/x", "", { streamHead + chunk("id: 1\ndata: a\n\n") + chunk("data: b\n\n"), answer_end::Close }, streamHead + three, "" },
        { "continued by the caller, the next endpoint begins anew", "/resume/x", "Last-Event-Id: 1\r\n", { streamHead + chunk("id: 2\nda"), answer_end::Close }, streamHead + three, chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") + lastChunk },
        { "events in a response that says it did not run", "/stream/x", "", { notExecuted + chunk("id: 1\ndata: first\n\n") + lastChunk }, streamHead + three, three },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.first }, { { item.second } } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(item.target, item.requestLines));
        const std::string answer = caller.receive();
        CHECK_EQUAL_TEXT(!item.body.empty(), isComplete(answer), item.condition);
        CHECK_TEXT(item.body.empty() || answer.ends_with("\r\n\r\n" + item.body), item.condition);
    }
}

TEST(AttemptSeparation, AStreamWhoseSecondAttemptFailsEndsAsIncompleteAfterItsWholeEvents)
{
    struct place {
        const char* name;
        std::string sent; ///< Of the stream, before the first endpoint breaks it off.
        std::string events; ///< Whole events among it.
    };
    struct failure {
        const char* name;
        scripted_answer answer;
    };
    const std::string event = chunk("id: 1\ndata: a\n\n");
    const place places[] = {
        { "before the first event", "", "" },
        { "inside the first event", chunk("id: 1\nda"), "" },
        { "after the first event", event, event },
        { "inside the second event", event + chunk("id: 2\nda"), event },
    };
    const failure failures[] = {
        { "a failure", { failedAnswer } },
        { "a failure whose body looks like events", { "HTTP/1.1 500 Oops\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } },
        { "a refusal without a run", { notExecutedAnswer } },
        { "a success that is no stream of its own request", { "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: other\r\nX-Filbertreel-Server-Seal: s\r\nContent-Length: 5\r\n\r\nhello" } },
        { "nothing", { "", answer_end::Close } },
        { "a head alone", { streamHead, answer_end::Close } },
        { "a part of an event", { streamHead + chunk("id: 2\nda"), answer_end::Reset } },
    };
    for (const place& broken : places) {
        for (const failure& second : failures) {
            const std::string condition = std::string(broken.name) + ", then " + second.name;
            running_gateway gateway({ { { streamHead + broken.sent, answer_end::Close } }, { second.answer } });
            raw_caller caller(gateway.port);
            caller.send(makeRequest("/resume/x"));
            const std::string answer = caller.receive();
            CHECK_EQUAL_TEXT(2, gateway.arrivals(), condition.c_str());
            if (broken.events.empty()) {
                CHECK_TEXT(statusOf(answer) >= 500, condition.c_str());
                continue;
            }
            CHECK_EQUAL_TEXT(200, statusOf(answer), condition.c_str());
            CHECK_TEXT(answer.ends_with("\r\n\r\n" + broken.events), condition.c_str());
        }
    }
}

TEST(AttemptSeparation, ALateSecondCopyOnAReusedConnectionIsNeverTakenAsTheNextResponse)
{
    const std::string seal = "X-Filbertreel-Server-Seal: s\r\n";
    const std::string otherId = "X-Filbertreel-Attempt-Id: id6\r\n";
    const std::string stray = "Content-Length: 5\r\n\r\nstray";
    struct row {
        const char* condition;
        std::string second; ///< What the endpoint sends on the second request's arrival, before its response.
    };
    const row rows[] = {
        { "nothing", "" },
        { "a success of another request", "HTTP/1.1 200 OK\r\n" + otherId + seal + stray },
        { "a success that names no request", "HTTP/1.1 200 OK\r\n" + seal + stray },
        { "a failure of another request", "HTTP/1.1 500 Oops\r\n" + otherId + seal + stray },
        { "a failure that names no request", "HTTP/1.1 500 Oops\r\n" + seal + stray },
        { "a refusal that names no request", "HTTP/1.1 503 Service Unavailable\r\nX-Filbertreel-Not-Executed: 1\r\n" + stray },
        { "the rest of a body", "stray\r\n" },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { { completeAnswer, answer_end::Keep }, { item.second + completeAnswer, answer_end::Keep }, { completeAnswer, answer_end::Keep } }, { { completeAnswer } } });
        for (int request = 0; request < 3; ++request) {
            raw_caller caller(gateway.port);
            caller.send(makeRequest("/idem/x"));
            const std::string answer = caller.receive();
            CHECK_EQUAL_TEXT(200, statusOf(answer), item.condition);
            CHECK_TEXT(answer.ends_with("\r\n\r\nhello"), item.condition);
        }
    }
}

TEST(AttemptSeparation, AResponseThatRunsIntoASecondOneIsNotForwardedAsWhole)
{
    const std::string secondCopy = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: id7\r\nX-Filbertreel-Server-Seal: s.1\r\nContent-Length: 5\r\n\r\nhello";
    const std::string secondStream = streamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
    const std::string untilClose = answerHead + "\r\n";
    const std::string rest = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    // The length of the first response's body reaches to the end of the second copy.
    const std::string torn = answerHead + "Content-Length: " + std::to_string(3 + secondCopy.size()) + "\r\n\r\nhel";
    // A chunk that breaks off is filled by the second copy.
    const std::string tornChunk = chunk("id: 1\ndata: a\n\n") + "ff\r\nid: 2\nda";
    struct row {
        const char* condition;
        const char* target;
        scripted_answer first;
        std::string second; ///< Of the next endpoint.
        int status;
        bool isComplete;
    };
    const row rows[] = {
        { "body with a length, at most once", "/once/x", { torn + secondCopy }, completeAnswer, 502, true },
        { "body with a length, idempotent", "/idem/x", { torn + secondCopy }, completeAnswer, 200, true },
        { "body without a length, at most once", "/once/x", { untilClose + "hel" + secondCopy, answer_end::Close }, completeAnswer, 502, true },
        { "body without a length, idempotent", "/idem/x", { untilClose + "hello" + secondCopy, answer_end::Close }, completeAnswer, 200, true },
        { "chunk, stream", "/stream/x", { streamHead + tornChunk + secondStream, answer_end::Close }, completeAnswer, 200, false },
        { "chunk, resumable stream", "/resume/x", { streamHead + tornChunk + secondStream, answer_end::Close }, streamHead + rest, 200, true },
        { "stream without a length", "/stream/x", { untilClose + "id: 1\ndata: a\n\n" + secondStream, answer_end::Close }, completeAnswer, 200, false },
        { "resumable stream without a length", "/resume/x", { untilClose + "id: 1\ndata: a\n\n" + secondStream, answer_end::Close }, streamHead + rest, 200, true },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.first }, { { item.second } } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest(item.target));
        const std::string answer = caller.receive();
        CHECK_EQUAL_TEXT(item.status, statusOf(answer), item.condition);
        CHECK_EQUAL_TEXT(item.isComplete, isComplete(answer), item.condition);
        CHECK_TEXT(answer.find("HTTP/1.1", 1) == std::string::npos, item.condition);
        if (std::string(item.target) == "/idem/x")
            CHECK_TEXT(answer.ends_with("\r\n\r\nhello"), item.condition);
        if (std::string(item.target) == "/resume/x")
            CHECK_TEXT(answer.ends_with("\r\n\r\n" + chunk("id: 1\ndata: a\n\n") + rest), item.condition);
    }
}

TEST(AttemptSeparation, ALateSecondCopyIsNotTakenAsTheResponseToTheNextCallOfTheClient)
{
    const std::string stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    scripted_endpoint endpoint({ { completeAnswer, answer_end::Late, stray }, { completeAnswer, answer_end::Keep } });
    Http::client client;
    for (int call = 0; call < 3; ++call)
        STRCMP_EQUAL("hello", fetchOnOwnConnection(client, "http://" + endpoint.address() + "/").c_str());
}
