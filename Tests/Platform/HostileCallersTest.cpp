/// @file
/// Callers that keep to no limit, at a real node: it must go on running within the memory and the descriptors that its
/// settings grant, and answer an ordinary request afterwards.

#include "Platform/RunningNode.h"
#include "Platform/ScriptedEndpoint.h"
#include "Platform/StoreStandIn.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <thread>

namespace {

using namespace PlatformTests;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t memoryMegabytes = 96;
constexpr size_t descriptors = 256;
constexpr size_t bodyBytes = size_t { 1024 } * 1024;
constexpr size_t kilobytesPerMegabyte = 1024;
constexpr size_t pieceBytes = size_t { 64 } * 1024;
/// Only ends a test that hangs.
constexpr int waitLimitMs = 30000;

const std::string answerBytes = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nContent-Length: 5\r\n\r\nhello";
const std::string requestHead = "POST /p/hold HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: id7\r\nX-Filbertreel-Time-Budget: 1500\r\nAuthorization: Bearer k1\r\n";
const std::string chunkedHead = requestHead + "Transfer-Encoding: chunked\r\n\r\n";

enum class target {
    Gateway,
    Directory,
};

/// What each caller of a crowd sends before it stops and stays connected.
struct crowd {
    const char* name;
    size_t callers;
    std::string head;
    std::string repeated; ///< Sent until `bytes` are sent.
    size_t bytes; ///< Besides the head.
    target at { target::Gateway };
    bool isInRounds { false }; ///< All callers send one piece each before any sends its next.
};

std::string withLength(size_t bytes)
{
    return requestHead + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string repeat(const std::string& text, size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

std::vector<crowd> makeCrowds()
{
    constexpr size_t endless = 32 * bodyBytes;
    const std::string part(pieceBytes, 'x');
    const std::string oneChunk = "10000\r\n" + part + "\r\n";
    const std::string chunkOfWholeBody = "100000\r\n";
    return {
        { "trailer lines without end", 4, chunkedHead + "1\r\nx\r\n0\r\n", repeat("X-Line: x\r\n", pieceBytes), endless },
        { "a trailer line without end", 4, chunkedHead + "1\r\nx\r\n0\r\nX-Line: ", part, endless },
        { "a chunk extension without end", 4, chunkedHead + "1;a=", part, endless },
        { "an announced body far over the limit", 32, withLength(4000000000), part, 4 * bodyBytes },
        { "a chunked body far over the limit", 32, chunkedHead, oneChunk, 4 * bodyBytes },
        { "bodies with a length that stop just short of their end", 128, withLength(bodyBytes), part, bodyBytes - 1 },
        { "chunked bodies that stop just short of their end", 128, chunkedHead + chunkOfWholeBody, part, bodyBytes - 1 },
        { "bodies in pieces that stop just short of their end", 128, withLength(bodyBytes), part, bodyBytes - 1, target::Gateway, true },
        { "whole bodies at once", 128, withLength(bodyBytes), part, bodyBytes },
        { "heads of many short lines, and no body", 400, requestHead + "Content-Length: 5\r\n" + repeat("a:b\r\n", 12000) + "\r\n", "", 0 },
        { "connections that send nothing", 400, "", "", 0 },
        { "bodies at the directory that stop just short of their end", 128, withLength(bodyBytes), part, bodyBytes - 1, target::Directory },
    };
}

json makeManifest()
{
    return { { "version", 3 },
        { "routes", { { { "name", "r" }, { "hostname", "h.example" }, { "prefix", "/p/" }, { "routeType", "idempotent" }, { "timeoutMs", 2000 }, { "service", "s" }, { "maxAttempts", 1 } } } },
        { "services", { { { "name", "s" } } } },
        { "tenants", { { { "name", "clerks" }, { "apiKeys", { "k1" } } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", bodyBytes }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } } };
}

json makeEntry(const std::string& address)
{
    return { { "service", "s" }, { "address", address }, { "zone", "z" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "born", 1 } };
}

template <typename predicate>
bool eventually(predicate condition)
{
    for (int waited = 0; waited < waitLimitMs; waited += 20) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

size_t peakMegabytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / kilobytesPerMegabyte;
    }
    return 0;
}

size_t openDescriptors(pid_t pid)
{
    const std::filesystem::path folder = "/proc/" + std::to_string(pid) + "/fd";
    std::error_code error;
    std::filesystem::directory_iterator entries(folder, error);
    return error ? 0 : static_cast<size_t>(std::distance(entries, std::filesystem::directory_iterator()));
}

/// @return whether the process that listens at the port has read all that its connections have received. What is still in
/// the kernel's buffers doesn't count as the process's memory yet.
bool hasReadAll(uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    char local[16];
    std::snprintf(local, sizeof(local), "0100007F:%04X", port);
    for (std::string line; std::getline(table, line);) {
        // Number, local address, remote address, state, queues as "SEND:RECEIVE".
        std::istringstream fields(line);
        std::string number;
        std::string address;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> address >> remote >> state >> queues;
        const bool isListener = state == "0A";
        if (address == local && !isListener && queues.size() > 9 && queues.substr(9) != "00000000")
            return false;
    }
    return true;
}

/// One caller of a crowd. A refusal or a close by the node ends what it sends.
struct hostile_caller {
    std::unique_ptr<raw_caller> connection;
    size_t sent { 0 };

    void open(const crowd& item, uint16_t port)
    {
        try {
            connection = std::make_unique<raw_caller>(port);
            connection->send(item.head);
        } catch (const std::exception&) {
            sent = item.bytes;
        }
    }

    void sendPiece(const crowd& item)
    {
        const size_t size = std::min(item.repeated.size(), item.bytes - sent);
        try {
            connection->send(item.repeated.substr(0, size));
            sent += size;
        } catch (const std::exception&) {
            sent = item.bytes;
        }
    }
};

/// Sends what the crowd sends; the callers stay connected.
/// @return the largest number of descriptors that the node had open.
size_t attack(const crowd& item, running_node& node, std::vector<hostile_caller>& callers)
{
    const uint16_t port = item.at == target::Directory ? node.ready() : node.callers();
    size_t mostDescriptors = 0;
    for (hostile_caller& caller : callers) {
        caller.open(item, port);
        while (!item.isInRounds && caller.sent < item.bytes)
            caller.sendPiece(item);
        mostDescriptors = std::max(mostDescriptors, openDescriptors(node.child.pid));
    }
    while (std::any_of(callers.begin(), callers.end(), [&](const hostile_caller& caller) { return caller.sent < item.bytes; })) {
        for (hostile_caller& caller : callers) {
            if (caller.sent < item.bytes)
                caller.sendPiece(item);
        }
        mostDescriptors = std::max(mostDescriptors, openDescriptors(node.child.pid));
    }
    return mostDescriptors;
}

bool isServed(const crowd& item, const running_node& node)
{
    if (item.at == target::Directory)
        return statusOf(ask(node.ready(), "/v1/resolve?name=h.example&region=r&zone=z")) == 200;
    return node.served() == 200;
}

} // namespace

TEST_GROUP(PlatformHostileCallers) {};

TEST(PlatformHostileCallers, ANodeStaysWithinItsMemoryAndDescriptorsAndServesAfterwards)
{
    std::string failures;
    for (const crowd& item : makeCrowds()) {
        store_stand_in store;
        scripted_endpoint endpoint({ { answerBytes }, { "", answer_end::Wait, "", "/p/hold" } });
        store.put("op", "config", makeManifest());
        store.put("servers", "i-1", makeEntry(endpoint.address()));
        running_node node({ .storeAddress = store.address(), .moreLines = { "limits.memoryMb=" + std::to_string(memoryMegabytes), "limits.fileDescriptors=" + std::to_string(descriptors) } });
        CHECK_TEXT(eventually([&] { return node.served() == 200; }), item.name);
        const size_t before = peakMegabytes(node.child.pid);
        std::vector<hostile_caller> callers(item.callers);
        const size_t mostDescriptors = attack(item, node, callers);
        const uint16_t port = item.at == target::Directory ? node.ready() : node.callers();
        // A server that stops reading some of its connections is asked for an answer all the same.
        eventually([&] { return hasReadAll(port) || !Harness::isRunning(node.child); });
        const bool isServedAfterwards = eventually([&] { return isServed(item, node); });
        const bool isAlive = Harness::isRunning(node.child);
        const size_t peak = isAlive ? peakMegabytes(node.child.pid) : 0;
        const bool isKept = isAlive && isServedAfterwards && peak <= memoryMegabytes && mostDescriptors <= descriptors;
        std::fprintf(stderr, "%s: %s, %s, %zu MB before, %zu MB at the peak, %zu descriptors%s\n", item.name, isAlive ? "runs" : "ended", isServedAfterwards ? "serves" : "doesn't serve", before, peak, mostDescriptors, isKept ? "" : " (broken)");
        if (!isKept)
            failures += std::string(item.name) + "; ";
    }
    CHECK_TEXT(failures.empty(), failures.c_str());
}

TEST(PlatformHostileCallers, ALargeRequestWithinTheLimitsIsServedInCalm)
{
    struct row {
        const char* name;
        std::string request;
    };
    const std::string head = "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: id8\r\nX-Filbertreel-Time-Budget: 1500\r\nAuthorization: Bearer k1\r\n";
    const std::string half(bodyBytes / 2, 'x');
    const row rows[] = {
        { "with a length", head + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + half + half },
        { "in chunks, with an extension and a trailer", head + "Transfer-Encoding: chunked\r\n\r\n80000;a=b\r\n" + half + "\r\n80000\r\n" + half + "\r\n0\r\nX-Line: x\r\n\r\n" },
        { "with a head just below the limit", head + "X-Long: " + std::string(16000 - head.size(), 'x') + "\r\nContent-Length: 1\r\n\r\nx" },
    };
    store_stand_in store;
    scripted_endpoint endpoint({ { answerBytes } });
    store.put("op", "config", makeManifest());
    store.put("servers", "i-1", makeEntry(endpoint.address()));
    running_node node({ .storeAddress = store.address(), .moreLines = { "limits.memoryMb=" + std::to_string(memoryMegabytes), "limits.fileDescriptors=" + std::to_string(descriptors) } });
    CHECK(eventually([&] { return node.served() == 200; }));
    for (const row& item : rows) {
        raw_caller caller(node.callers());
        caller.send(item.request);
        CHECK_EQUAL_TEXT(200, statusOf(caller.receive()), item.name);
    }
}
