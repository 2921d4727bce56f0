/// @file
/// Endpoints that close their connection in the middle of a response's head.

#include "Http/Client.h"
#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;

const std::string lastChunk = "0\r\n\r\n";
const std::string wholeStream = chunk("id: 1\ndata: a\n\n") + lastChunk;
const std::string eventStream = "Content-Type: text/event-stream\r\n";

/// A response whose head is cut.
struct response_row {
    const char* condition;
    std::string head; ///< With its blank line.
};

const response_row responses[] = {
    { "length", answerHead + "Content-Length: 5\r\n\r\n" },
    { "length first", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Filbertreel-Server-Seal: s.1\r\n\r\n" },
    { "chunks", answerHead + "Transfer-Encoding: chunked\r\n\r\n" },
    { "chunks first", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Filbertreel-Server-Seal: s.1\r\n\r\n" },
    { "events in chunks", streamHead },
    { "events until the connection ends", answerHead + eventStream + "\r\n" },
    { "after an informational head", "HTTP/1.1 100 Continue\r\n\r\n" + answerHead + "Content-Length: 5\r\n\r\n" },
    { "after two informational heads", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + answerHead + "\r\n" },
};

Http::transfer_answer fetch(const std::string& address, const std::string& method)
{
    Http::client client;
    Http::outgoing_request request;
    request.method = method;
    request.url = "http://" + address + "/x";
    request.mayRepeat = false;
    Http::transfer_answer answer;
    client.start(std::move(request), [&answer](Http::transfer_answer&& received) { answer = std::move(received); });
    while (client.active() > 0)
        client.poll(std::chrono::milliseconds(50));
    return answer;
}

} // namespace

TEST_GROUP(CutHeads) {};

TEST(CutHeads, AResponseThatEndsInsideItsHeadIsNotReportedCompleteByTheClient)
{
    for (const response_row& item : responses) {
        for (size_t cut = 0; cut < item.head.size(); ++cut) {
            const std::string condition = std::string(item.condition) + ", " + std::to_string(cut) + " bytes";
            scripted_endpoint endpoint({ { item.head.substr(0, cut), answer_end::Close } });
            CHECK_TEXT(fetch(endpoint.address(), cut % 2 == 0 ? "GET" : "POST").end == Http::transfer_end::Cut, condition.c_str());
        }
    }
}

TEST(CutHeads, AResponseWithAWholeHeadIsReportedCompleteByTheClient)
{
    struct row {
        const char* condition;
        std::string bytes;
        std::string body;
    };
    const row rows[] = {
        { "length", answerHead + "Content-Length: 5\r\n\r\nhello", "hello" },
        { "no body", "HTTP/1.1 204 No Content\r\n\r\n", "" },
        { "until the connection ends", answerHead + "\r\nhello", "hello" },
        { "empty until the connection ends", answerHead + "\r\n", "" },
        { "chunks with a trailer", answerHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", "hello" },
        { "after an informational head", "HTTP/1.1 100 Continue\r\n\r\n" + answerHead + "Content-Length: 5\r\n\r\nhello", "hello" },
        { "lines that end with a line feed", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", "hello" },
    };
    for (const row& item : rows) {
        scripted_endpoint endpoint({ { item.bytes, answer_end::Close } });
        const Http::transfer_answer answer = fetch(endpoint.address(), "POST");
        CHECK_TEXT(answer.end == Http::transfer_end::Complete, item.condition);
        STRCMP_EQUAL_TEXT(item.body.c_str(), answer.body.c_str(), item.condition);
    }
}

TEST(CutHeads, AResponseThatEndsInsideItsHeadIsNotForwardedByTheGateway)
{
    constexpr size_t step = 11;
    struct row {
        const char* target;
        std::string second; ///< Of the next endpoint, in whole.
        bool mayRetry;
    };
    const row rows[] = {
        { "/once/x", completeAnswer, false },
        { "/idem/x", completeAnswer, true },
        { "/stream/x", streamHead + wholeStream, false },
        { "/resume/x", streamHead + wholeStream, true },
    };
    for (const row& item : rows) {
        for (const response_row& response : responses) {
            for (size_t cut = 0; cut < response.head.size(); cut += step) {
                const std::string condition = std::string(item.target) + ", " + response.condition + ", " + std::to_string(cut) + " bytes";
                running_gateway gateway({ { { response.head.substr(0, cut), answer_end::Close } }, { { item.second } } });
                raw_caller caller(gateway.port);
                caller.send(makeRequest(item.target));
                const std::string answer = caller.receive();
                CHECK_EQUAL_TEXT(item.mayRetry ? 200 : 502, statusOf(answer), condition.c_str());
                CHECK_EQUAL_TEXT(item.mayRetry ? 2 : 1, gateway.arrivals(), condition.c_str());
                CHECK_TEXT(!item.mayRetry || answer.ends_with("hello") || answer.ends_with(wholeStream), condition.c_str());
            }
        }
    }
}

TEST(CutHeads, AStreamThatIsContinuedByACutHeadEndsAsIncomplete)
{
    const std::string first = chunk("id: 1\ndata: a\n\n");
    for (const response_row& response : responses) {
        for (const size_t cut : { size_t { 0 }, response.head.size() / 3, response.head.size() / 2, response.head.size() - 2, response.head.size() - 1 }) {
            const std::string condition = std::string(response.condition) + ", " + std::to_string(cut) + " bytes";
            running_gateway gateway({ { { streamHead + first, answer_end::Close } }, { { response.head.substr(0, cut), answer_end::Close } } });
            raw_caller caller(gateway.port);
            caller.send(makeRequest("/resume/x"));
            CHECK_TEXT(caller.receive().ends_with("\r\n\r\n" + first), condition.c_str());
        }
    }
}

TEST(CutHeads, AHeadThatIsCutOnAKeptConnectionEndsOnlyItsOwnRequest)
{
    for (const response_row& response : responses) {
        for (const size_t cut : { size_t { 1 }, response.head.size() / 2, response.head.size() - 2 }) {
            const std::string condition = std::string(response.condition) + ", " + std::to_string(cut) + " bytes";
            running_gateway gateway({ { { completeAnswer, answer_end::Keep }, { response.head.substr(0, cut), answer_end::Close }, { completeAnswer, answer_end::Keep } } });
            for (const int expected : { 200, 502, 200 }) {
                raw_caller caller(gateway.port);
                caller.send(makeRequest("/idem/x"));
                CHECK_EQUAL_TEXT(expected, statusOf(caller.receive()), condition.c_str());
            }
        }
    }
}
