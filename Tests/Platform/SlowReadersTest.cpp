/// @file
/// Callers that read slowly, and callers that vanish without closing their connections, at a real gateway.

#include "Platform/RunningGateway.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <atomic>
#include <fstream>
#include <linux/filter.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace PlatformTests;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int streamEvents = 150;
constexpr milliseconds streamTimeout { 15000 };
/// Ends a test that hangs.
constexpr milliseconds waitLimit { 10000 };
const std::string firstEvent = chunk("id: 0\ndata: a\n\n");

Catalog::catalog_pointer makeCatalog()
{
    auto changed = std::make_shared<Catalog::catalog>(*makeTestCatalog());
    for (Catalog::route& item : changed->routes)
        item.timeout = streamTimeout;
    Catalog::indexCatalog(*changed);
    return changed;
}

std::string makeLongStream()
{
    std::string events;
    for (int number = 1; number <= streamEvents; ++number)
        events += chunk("id: " + std::to_string(number) + "\ndata: " + std::string(400, 'x') + "\n\n");
    return streamHead + events + "0\r\n\r\n";
}

/// A caller whose system can be made to drop all that arrives.
struct small_caller {
    int handle { socket(AF_INET, SOCK_STREAM, 0) };
    uint16_t port { 0 };

    /// @param bufferBytes receive buffer; zero: the usual one.
    small_caller(uint16_t gateway, int bufferBytes, const char* target)
    {
        if (bufferBytes > 0)
            setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
        sockaddr_in address { AF_INET, htons(gateway), { htonl(INADDR_LOOPBACK) }, {} };
        if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            throw std::runtime_error("connect");
        socklen_t size = sizeof(address);
        getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        std::string request = makeRequest(target);
        request.replace(request.find("1200"), 4, std::to_string(streamTimeout.count()));
        static_cast<void>(::send(handle, request.data(), request.size(), 0));
    }
    ~small_caller() { ::close(handle); }
    small_caller(const small_caller&) = delete;

    std::string readSome(size_t bytes) const
    {
        std::string part(bytes, 0);
        const ssize_t size = recv(handle, part.data(), bytes, 0);
        part.resize(size > 0 ? static_cast<size_t>(size) : 0);
        return part;
    }

    void readUntil(const std::string& text) const
    {
        for (std::string received; received.find(text) == std::string::npos;) {
            const std::string part = readSome(1000);
            if (part.empty())
                throw std::runtime_error("closed");
            received += part;
        }
    }

    void vanish() const
    {
        sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
        const sock_fprog program { 1, &dropAll };
        if (setsockopt(handle, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
            throw std::runtime_error("filter");
    }
};

/// @return whether the gateway holds a connection to a caller's port.
bool isHeld(uint16_t gateway, uint16_t caller)
{
    std::ifstream table("/proc/net/tcp");
    char pair[64];
    std::snprintf(pair, sizeof(pair), "0100007F:%04X 0100007F:%04X 01", gateway, caller);
    std::ostringstream text;
    text << table.rdbuf();
    return text.str().find(pair) != std::string::npos;
}

/// Reads small pieces with pauses of up to a second.
std::string readSlowly(uint16_t gateway, unsigned seed)
{
    constexpr size_t maxPieceBytes = 8000;
    std::mt19937 random(seed);
    const small_caller caller(gateway, 4096, "/stream/x");
    std::string received;
    while (!isComplete(received)) {
        std::this_thread::sleep_for(milliseconds(random() % 1000));
        const std::string part = caller.readSome(1 + random() % maxPieceBytes);
        if (part.empty())
            break;
        received += part;
    }
    return received;
}

} // namespace

TEST_GROUP(PlatformSlowReaders) {};

TEST(PlatformSlowReaders, StreamsOfCallersThatReadSlowlyAreNotCut)
{
    constexpr int readers = 60;
    running_gateway gateway({ { { makeLongStream() } } }, false);
    static_cast<void>(gateway.duty->submit(Gateway::catalog_update { makeCatalog() }));
    std::atomic<int> cut { 0 };
    std::vector<std::thread> threads;
    for (unsigned reader = 0; reader < readers; ++reader)
        threads.emplace_back([&, reader] { cut += !isComplete(readSlowly(gateway.port, reader)); });
    for (std::thread& thread : threads)
        thread.join();
    CHECK_EQUAL(0, cut);
}

TEST(PlatformSlowReaders, CallersThatVanishAreDetectedInTime)
{
    struct row {
        const char* condition;
        const char* target;
        scripted_answer answer;
        std::string readFirst;
        int bufferBytes;
    };
    const row rows[] = {
        { "idle after an answer", "/idem/x", { completeAnswer }, "hello", 0 },
        { "idle in a stream", "/stream/x", { streamHead + firstEvent, answer_end::Wait }, "data: a", 0 },
        { "bytes sent afterwards", "/stream/x", { streamHead + firstEvent, answer_end::Late, chunk("id: 1\ndata: b\n\n") }, "data: a", 0 },
        { "receive window closed", "/stream/x", { makeLongStream() }, "id: 1", 4096 },
    };
    for (const row& item : rows) {
        running_gateway gateway({ { item.answer } }, false);
        static_cast<void>(gateway.duty->submit(Gateway::catalog_update { makeCatalog() }));
        const small_caller caller(gateway.port, item.bufferBytes, item.target);
        caller.readUntil(item.readFirst);
        CHECK_TEXT(isHeld(gateway.port, caller.port), item.condition);
        caller.vanish();
        const auto vanished = steady_clock::now();
        while (isHeld(gateway.port, caller.port) && steady_clock::now() - vanished < waitLimit)
            std::this_thread::sleep_for(milliseconds(20));
        const auto ms = std::chrono::duration_cast<milliseconds>(steady_clock::now() - vanished).count();
        std::fprintf(stderr, "%s: %d ms\n", item.condition, static_cast<int>(ms));
        CHECK_TEXT(ms >= 2000, item.condition);
        CHECK_TEXT(!isHeld(gateway.port, caller.port), item.condition);
    }
}
