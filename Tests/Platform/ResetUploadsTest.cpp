/// @file
/// Endpoints that answer a long upload early and end the connection while it is still being written, and answers whose
/// status is none of the protocol.

#include "Http/Client.h"
#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;

/// More than the system's largest send buffer holds, so that the upload is not written whole.
constexpr size_t uploadBytes = size_t { 12 } * 1024 * 1024;
constexpr int receiveBufferBytes = 4096;

/// How the endpoint ends the connection.
enum class connection_end {
    Reset,
    Plain, ///< It sends nothing more, reads the rest of the upload and closes.
};

/// Reads the head of one request, and of its body only what is wanted; answers, and ends the connection.
class early_endpoint {
public:
    early_endpoint(std::string answer, connection_end end, bool readsAll)
        : m_answer(std::move(answer))
        , m_end(end)
        , m_readsAll(readsAll)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // Inherited by the connections: only a part of the upload fits.
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(m_port);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        CHECK_EQUAL(0, bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
        CHECK_EQUAL(0, listen(m_listener, SOMAXCONN));
        m_thread = std::thread([this] { run(); });
    }

    ~early_endpoint()
    {
        m_isStopping = true;
        m_thread.join();
        close(m_listener);
    }

    early_endpoint(const early_endpoint&) = delete;
    early_endpoint& operator=(const early_endpoint&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    int arrivals() const { return m_arrivals; }

private:
    void run()
    {
        while (!m_isStopping) {
            pollfd waiting { m_listener, POLLIN, 0 };
            if (poll(&waiting, 1, 10) <= 0)
                continue;
            const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0)
                serve(connection);
        }
    }

    static std::string idOf(const std::string& head)
    {
        const std::string name = "X-Filbertreel-Attempt-Id: ";
        const size_t at = head.find(name);
        return at == std::string::npos ? "" : head.substr(at + name.size(), head.find("\r\n", at) - at - name.size());
    }

    void serve(int connection)
    {
        std::string received;
        char bytes[1024];
        const auto isWanted = [&] { return m_readsAll ? received.size() < uploadBytes : received.find("\r\n\r\n") == std::string::npos; };
        while (isWanted()) {
            const ssize_t size = recv(connection, bytes, sizeof(bytes), 0);
            if (size <= 0) {
                close(connection);
                return;
            }
            received.append(bytes, static_cast<size_t>(size));
        }
        ++m_arrivals;
        std::string answer = m_answer;
        const size_t id = answer.find("@ID@");
        if (id != std::string::npos)
            answer.replace(id, 4, idOf(received));
        static_cast<void>(::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL));
        // The answer arrives before the end of the connection does.
        std::this_thread::sleep_for(milliseconds(50));
        end(connection);
    }

    void end(int connection) const
    {
        if (m_end == connection_end::Reset) {
            const linger atOnce { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        } else {
            shutdown(connection, SHUT_WR);
            char bytes[65536];
            while (recv(connection, bytes, sizeof(bytes), 0) > 0) { }
        }
        close(connection);
    }

    std::string m_answer;
    connection_end m_end;
    bool m_readsAll;
    uint16_t m_port { findFreePort() };
    int m_listener;
    std::atomic<int> m_arrivals { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

struct row {
    const char* name;
    const char* target;
    std::string answer;
    connection_end end;
    bool readsAll; ///< The upload is written whole before the answer.
    int status; ///< That the caller gets; zero: its connection is closed.
    bool isComplete; ///< Whether the caller may take what it gets for complete.
};

const std::string withoutLength = answerHead + "\r\npart of the body";
const std::string withLength = answerHead + "Content-Length: 100\r\n\r\npart of the body";
const std::string inChunks = answerHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("part of the body");
const std::string wholeLength = answerHead + "Content-Length: 4\r\n\r\nbody";
const std::string eventsWithoutLength = answerHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";

const row rows[] = {
    { "no length, reset, half written", "/once/x", withoutLength, connection_end::Reset, false, 502, true },
    { "no length, reset, half written, may repeat", "/idem/x", withoutLength, connection_end::Reset, false, 502, true },
    { "no length, reset, all written", "/once/x", withoutLength, connection_end::Reset, true, 502, true },
    { "no length, plain end, half written", "/once/x", withoutLength, connection_end::Plain, false, 200, true },
    { "no length, plain end, all written", "/once/x", withoutLength, connection_end::Plain, true, 200, true },
    { "length, reset, half written", "/once/x", withLength, connection_end::Reset, false, 502, true },
    { "length, plain end, half written", "/once/x", withLength, connection_end::Plain, false, 502, true },
    { "whole by its length, reset, half written", "/once/x", wholeLength, connection_end::Reset, false, 200, true },
    { "chunks, reset, half written", "/once/x", inChunks, connection_end::Reset, false, 502, true },
    { "chunks, plain end, all written", "/once/x", inChunks, connection_end::Plain, true, 502, true },
    { "stream, no length, reset, half written", "/stream/x", eventsWithoutLength, connection_end::Reset, false, 200, false },
    { "stream, no length, plain end, half written", "/stream/x", eventsWithoutLength, connection_end::Plain, false, 200, true },
};

std::string makeUpload(const std::string& target)
{
    return makeRequest(target, "", std::string(uploadBytes, 'u'));
}

/// @return the answer of a gateway that knows one endpoint only.
std::string askThrough(const std::string& endpointAddress, const std::string& request)
{
    running_gateway gateway({ { { completeAnswer } } });
    gateway.listed.at({ "e1" }).address = endpointAddress;
    gateway.listed.at({ "e1" }).started = { 2 };
    auto catalog = std::make_shared<Catalog::catalog>(*makeTestCatalog());
    catalog->version = 2;
    catalog->limits.bodyBytes = 2 * uploadBytes;
    static_cast<void>(gateway.duty->submit(Gateway::catalog_update { std::move(catalog) }));
    gateway.sendListing();
    std::this_thread::sleep_for(milliseconds(30));
    raw_caller caller(gateway.port);
    caller.send(request);
    return caller.receive();
}

} // namespace

TEST_GROUP(ResetUploads) {};

/// A reset that the write of the upload met first was read as the plain end of an answer without a length.
TEST(ResetUploads, AnAnswerThatIsResetDuringTheUploadIsNotComplete)
{
    int failed = 0;
    for (const row& item : rows) {
        const early_endpoint endpoint(item.answer, item.end, item.readsAll);
        const std::string answer = askThrough(endpoint.address(), makeUpload(item.target));
        const bool isAsExpected = endpoint.arrivals() > 0 && statusOf(answer) == item.status && isComplete(answer) == item.isComplete;
        if (!isAsExpected)
            printf("%s: %d, %s, %d arrivals\n", item.name, statusOf(answer), isComplete(answer) ? "complete" : "cut", endpoint.arrivals());
        failed += isAsExpected ? 0 : 1;
    }
    CHECK_EQUAL(0, failed);
}

/// The same at the client of the product's own interface, the store and the cloud.
TEST(ResetUploads, AnAnswerThatIsResetDuringTheUploadIsNotCompleteForTheClient)
{
    int failed = 0;
    for (const row& item : rows) {
        const early_endpoint endpoint(item.answer, item.end, item.readsAll);
        Http::client client;
        Http::outgoing_request request;
        request.method = "POST";
        request.url = "http://" + endpoint.address() + "/x";
        request.body = std::string(uploadBytes, 'u');
        request.mayRepeat = false;
        Http::transfer_answer answer;
        client.start(std::move(request), [&answer](Http::transfer_answer&& received) { answer = std::move(received); });
        while (client.active() > 0)
            client.poll(milliseconds(50));
        // Whatever ends whole for the caller of a gateway may also be reported as cut here, but not the reverse.
        const bool mayBeComplete = item.status == 200 && item.isComplete;
        const bool isAsExpected = mayBeComplete || answer.end != Http::transfer_end::Complete;
        if (!isAsExpected)
            printf("client, %s: complete, status %d\n", item.name, answer.status);
        failed += isAsExpected ? 0 : 1;
    }
    CHECK_EQUAL(0, failed);
}

/// An answer whose status is no status was forwarded to the caller.
TEST(ResetUploads, AStatusOutsideOfTheProtocolIsNoAnswer)
{
    struct status_row {
        const char* status;
        bool isStatus;
    };
    const status_row statuses[] = { { "000", false }, { "001", false }, { "099", false }, { "20", false }, { "2000", false }, { "600", false }, { "999", false }, { "200", true }, { "299", true }, { "404", true }, { "599", true } };
    int failed = 0;
    for (const status_row& item : statuses) {
        const std::string rest = std::string(" Oops\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nContent-Length: 5\r\n\r\nhello");
        const std::vector<const char*> targets = item.isStatus ? std::vector<const char*> { "/once/x" } : std::vector<const char*> { "/once/x", "/idem/x", "/stream/x", "/resume/x" };
        for (const char* target : targets) {
            scripted_endpoint endpoint({ { "HTTP/1.1 " + std::string(item.status) + rest, answer_end::Close } });
            const std::string answer = askThrough(endpoint.address(), makeRequest(target));
            const bool isForwarded = answer.find("X-Filbertreel-Server-Seal") != std::string::npos;
            const bool isAsExpected = item.isStatus ? statusOf(answer) == std::stoi(item.status) : statusOf(answer) == 502 && !isForwarded;
            if (!isAsExpected)
                printf("%s, %s: %s\n", item.status, target, answer.substr(0, answer.find("\r\n")).c_str());
            failed += isAsExpected ? 0 : 1;
        }
        scripted_endpoint endpoint({ { "HTTP/1.1 " + std::string(item.status) + rest, answer_end::Close } });
        Http::client client;
        Http::outgoing_request request;
        request.url = "http://" + endpoint.address() + "/x";
        request.mayRepeat = false;
        Http::transfer_answer answer;
        client.start(std::move(request), [&answer](Http::transfer_answer&& received) { answer = std::move(received); });
        while (client.active() > 0)
            client.poll(milliseconds(50));
        const bool isReported = answer.end == Http::transfer_end::Complete;
        if (isReported != item.isStatus)
            printf("client, %s: %s, status %d\n", item.status, isReported ? "complete" : "cut", answer.status);
        failed += isReported == item.isStatus ? 0 : 1;
    }
    CHECK_EQUAL(0, failed);
}
