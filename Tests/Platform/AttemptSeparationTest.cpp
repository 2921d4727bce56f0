/// @file
/// Responses of endpoints that break off, or that send a second copy late: no byte of one attempt may reach the caller
/// as part of another.

#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;

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
