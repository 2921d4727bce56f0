/// @file
/// What endpoints declare about themselves in their responses: that they leave, and for how long they want no requests.

#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace PlatformTests;

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
        { "a refusal that names no request", "/once/x", { "HTTP/1.1 503 Busy\r\n" + notExecuted + leavingLine + bodyLines }, true, 200 },
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
