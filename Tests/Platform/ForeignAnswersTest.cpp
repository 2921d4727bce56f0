/// @file
/// Responses that are not the endpoint's response to the request at hand, or not only that.

#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

#include <map>

namespace {

using namespace PlatformTests;

const std::string seal = "X-Filbertreel-Server-Seal: s.1\r\n";
const std::string notExecuted = "X-Filbertreel-Not-Executed: 1\r\n";
const std::string wholeStream = chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";

std::string headOf(int status, const std::string& id)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + (id.empty() ? "" : "X-Filbertreel-Attempt-Id: " + id + "\r\n");
}

/// @return whether a status promises that the request has not run.
bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// @return how many requests with this id have reached any endpoint.
size_t countArrivals(const running_gateway& gateway, const std::string& id)
{
    size_t count = 0;
    for (const auto& endpoint : gateway.endpoints) {
        for (const std::string& request : endpoint->requests())
            count += request.find("X-Filbertreel-Attempt-Id: " + id + "\r\n") != std::string::npos ? 1 : 0;
    }
    return count;
}

std::string soundAnswerOf(const std::string& target)
{
    return target == "/stream/x" || target == "/resume/x" ? streamHead + wholeStream : completeAnswer;
}

} // namespace

TEST_GROUP(ForeignAnswers) {};

TEST(ForeignAnswers, OnlyARefusalThatNamesTheRequestCountsAsNotRun)
{
    struct refusal {
        const char* condition;
        std::string id;
        std::string lines;
        bool isProof;
    };
    const refusal refusals[] = {
        { "names the request", "@ID@", notExecuted, true },
        { "names another request", "other", notExecuted, false },
        { "names no request", "", notExecuted, false },
        { "names no request, sealed", "", notExecuted + seal, false },
        { "names another request, without a statement", "other", "", false },
        { "names the request, sealed, without a statement", "@ID@", seal, false },
        { "names no request, sealed, without a statement", "", seal, false },
    };
    const std::string empty = "Content-Length: 0\r\n\r\n";
    for (const int status : { 503, 429, 421, 408 }) {
        for (const refusal& item : refusals) {
            for (const std::string target : { "/once/x", "/stream/x", "/resume/x", "/idem/x" }) {
                const std::string condition = std::to_string(status) + " " + item.condition + ", " + target;
                const std::string bytes = headOf(status, item.id) + item.lines + empty;
                const bool isStatedByStatus = status == 421 && item.id == "@ID@";
                const bool mayRunElsewhere = item.isProof || isStatedByStatus || target == "/resume/x" || target == "/idem/x";
                running_gateway gateway({ { { bytes + bytes } }, { { soundAnswerOf(target) } } });
                raw_caller caller(gateway.port);
                caller.send(makeRequest(target));
                const int status = statusOf(caller.receive());
                CHECK_EQUAL_TEXT(mayRunElsewhere ? 200 : 502, status, condition.c_str());
                CHECK_EQUAL_TEXT(mayRunElsewhere ? 2 : 1, gateway.arrivals(), condition.c_str());
            }
        }
    }
}

TEST(ForeignAnswers, ARequestIsNotRefusedForWhatEndpointsWroteToOthers)
{
    struct row {
        const char* condition;
        const char* target;
        std::vector<scripted_answer> answers; ///< Of both endpoints.
    };
    const std::string empty = "Content-Length: 0\r\n\r\n";
    const std::string earlier = headOf(503, "id6") + notExecuted + empty;
    const std::string nameless = headOf(503, "") + notExecuted + empty;
    const scripted_answer first { completeAnswer, answer_end::Keep };
    const row rows[] = {
        { "earlier refusal on a new connection", "/idem/x", { { earlier + completeAnswer } } },
        { "nameless refusal on a new connection", "/idem/x", { { nameless + completeAnswer } } },
        { "earlier refusal on a kept connection", "/idem/x", { first, { earlier + completeAnswer }, { earlier } } },
        { "nameless refusal on a kept connection", "/idem/x", { first, { nameless + completeAnswer }, { nameless } } },
        { "earlier refusal late, between two requests", "/idem/x", { { completeAnswer, answer_end::Late, earlier }, { earlier } } },
        { "nameless refusal before the request", "/once/x", { { "", answer_end::Early, nameless } } },
        { "nameless refusal before the stream", "/stream/x", { { "", answer_end::Early, nameless } } },
        { "earlier refusal before the request", "/once/x", { { "", answer_end::Early, earlier } } },
    };
    for (const row& item : rows) {
        running_gateway gateway({ item.answers, item.answers });
        std::map<std::string, int> statuses; ///< By the request's id.
        for (int request = 0; request < 3; ++request) {
            const std::string id = "call" + std::to_string(request);
            std::string text = makeRequest(item.target);
            text.replace(text.find("id7"), 3, id);
            raw_caller caller(gateway.port);
            caller.send(text);
            statuses[id] = statusOf(caller.receive());
        }
        // Counted by id and at the end: an endpoint may read a request only after its caller has got the answer.
        for (const auto& [id, status] : statuses) {
            const size_t arrived = countArrivals(gateway, id);
            CHECK_TEXT(status > 0 && !(isPromise(status) && arrived > 0), item.condition);
            CHECK_TEXT(arrived <= 1 || std::string(item.target) == "/idem/x", item.condition);
        }
    }
}

TEST(ForeignAnswers, AStreamThatBrokeOffGoesOnWithItsNextEventsOrEndsAsIncomplete)
{
    struct row {
        const char* condition;
        std::string second; ///< Of the next endpoint, in whole.
        bool mayEnd { false }; ///< It shows that the stream was at its end.
    };
    const std::string eventStream = "Content-Type: text/event-stream\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string text = "{\"error\":\"stray\"}\n\n";
    const std::string length = "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n";
    const std::string own = headOf(200, "@ID@") + seal;
    const std::string errorHead = headOf(500, "@ID@") + seal;
    const std::string strayHead = "HTTP/1.1 500 stray\r\nContent-Length: 5\r\n\r\nstray";
    const row rows[] = {
        { "404 with a length", headOf(404, "@ID@") + seal + length + text },
        { "500 with a length", errorHead + length + text },
        { "500 in chunks", errorHead + chunked + chunk(text) + "0\r\n\r\n" },
        { "500 until the connection ends", errorHead + "\r\n" + text },
        { "500 as an event stream", errorHead + eventStream + chunked + chunk("data: stray\n\n") + "0\r\n\r\n" },
        { "503 not executed", headOf(503, "@ID@") + notExecuted + length + text },
        { "503 not executed, of another request", headOf(503, "other") + notExecuted + length + text },
        { "redirect", headOf(302, "@ID@") + seal + "Location: /stray\r\n" + length + text },
        { "204", headOf(204, "@ID@") + seal + "\r\n" },
        { "200 of another content type", own + "Content-Type: application/json\r\n" + length + text },
        { "200 of another content type, in chunks", own + "Content-Type: text/html\r\n" + chunked + chunk(text) + "0\r\n\r\n" },
        { "200 without a content type", own + length + text },
        { "200 without events", own + eventStream + "Content-Length: 0\r\n\r\n" },
        { "200 without events, in chunks", own + eventStream + chunked + "0\r\n\r\n" },
        { "200 with an error as its event", own + eventStream + chunked + chunk("event: error\ndata: stray\n\n") + "0\r\n\r\n" },
        { "200 of another request", headOf(200, "other") + seal + eventStream + chunked + chunk("id: 2\ndata: stray\n\n") + "0\r\n\r\n" },
        { "200 without a seal", headOf(200, "@ID@") + eventStream + chunked + chunk("id: 2\ndata: stray\n\n") + "0\r\n\r\n" },
        { "an error's head as its events, in chunks", own + eventStream + chunked + chunk(strayHead) + "0\r\n\r\n" },
        { "an error's head inside an event", own + eventStream + chunked + chunk("id: 2\ndata: b" + strayHead) + "0\r\n\r\n" },
        { "an error's head until the connection ends", own + eventStream + "\r\n" + strayHead },
        { "only events that the caller has", own + eventStream + chunked + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n", true },
    };
    const std::string first = chunk("id: 1\ndata: a\n\n");
    const std::string unframed = answerHead + eventStream + "\r\nid: 1\ndata: a\n\nid: 2\ndata: b";
    const scripted_answer breaks[] = {
        { streamHead + first, answer_end::Close },
        { streamHead + first, answer_end::Reset },
        { streamHead + first + "garbage", answer_end::Close },
        { unframed, answer_end::Close },
        { streamHead + first + chunk(strayHead), answer_end::Close },
        { streamHead + first + chunk("id: 2\nda" + strayHead), answer_end::Close },
    };
    for (const scripted_answer& broken : breaks) {
        for (const row& item : rows) {
            running_gateway gateway({ { broken }, { { item.second, answer_end::Close } } });
            raw_caller caller(gateway.port);
            caller.send(makeRequest("/resume/x"));
            const std::string answer = caller.receive();
            const bool hasFirst = answer.ends_with("\r\n\r\n" + first);
            // A reset may discard the event before the gateway reads it.
            const bool hasNothing = broken.end == answer_end::Reset && statusOf(answer) >= 500;
            const bool hasEnded = item.mayEnd && answer.ends_with("\r\n\r\n" + first + "0\r\n\r\n");
            CHECK_TEXT(hasFirst || hasNothing || hasEnded || (broken.end == answer_end::Reset && answer.find("stray") == std::string::npos), item.condition);
        }
    }
}

TEST(ForeignAnswers, ABodyThatIsCutInsideASecondHeadIsNotForwardedAsWhole)
{
    const std::string body(60, 'b');
    struct row {
        const char* condition;
        std::string secondHead; ///< Its beginning is the end of the body.
    };
    const std::string ownHead = headOf(200, "id7") + seal;
    const row rows[] = {
        { "a copy", ownHead + "Content-Length: 60\r\n\r\n" },
        { "a refusal", headOf(503, "id7") + notExecuted + "Content-Length: 60\r\n\r\n" },
        { "a head that names nobody", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 60\r\n\r\n" },
    };
    for (const row& item : rows) {
        for (size_t cut = 1; cut <= item.secondHead.size(); cut += 3) {
            const std::string condition = std::string(item.condition) + ", " + std::to_string(cut) + " bytes";
            const std::string torn = answerHead + "Content-Length: " + std::to_string(20 + cut) + "\r\n\r\n" + body.substr(0, 20) + item.secondHead + body;
            running_gateway gateway({ { { torn } }, { { completeAnswer } } });
            raw_caller caller(gateway.port);
            caller.send(makeRequest("/once/x"));
            const std::string answer = caller.receive();
            CHECK_EQUAL_TEXT(502, statusOf(answer), condition.c_str());
            CHECK_EQUAL_TEXT(1, gateway.arrivals(), condition.c_str());
        }
    }
}

TEST(ForeignAnswers, ABodyThatHoldsTextOfAHeadIsForwardedUnchanged)
{
    struct row {
        const char* condition;
        std::string body;
        std::string surplus; ///< A response of its own after the body.
    };
    const std::string copy = answerHead + "Content-Length: 5\r\n\r\nhello";
    const row rows[] = {
        { "a head in the middle", "see HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "" },
        { "a status line in the middle", "HTTP/1.1 200 OK is what it said", "" },
        { "the first letter of a head at the end", "GOOD BATCH", "" },
        { "the first letter of a head at the end, then a copy", "GOOD BATCH", copy },
        { "the version at the end", "it speaks HTTP/1.1", "" },
        { "a copy after it", "hello", copy },
        { "many status lines", [] { std::string lines; for (int line = 0; line < 40'000; ++line) lines += "HTTP/1.1 200 OK\r\n"; return lines + "\r\nend"; }(), "" },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { { answerHead + "Content-Length: " + std::to_string(item.body.size()) + "\r\n\r\n" + item.body + item.surplus } } });
        raw_caller caller(gateway.port);
        caller.send(makeRequest("/once/x"));
        const std::string answer = caller.receive();
        CHECK_EQUAL_TEXT(200, statusOf(answer), item.condition);
        CHECK_TEXT(answer.ends_with("\r\n\r\n" + item.body), item.condition);
    }
}
