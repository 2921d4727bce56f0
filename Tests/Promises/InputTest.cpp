/// @file
/// Invalid input gets an answer with an error code, and the node keeps serving.

#include "Harness/Callers.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace Harness;

cluster_settings makeSettings()
{
    cluster_settings settings;
    settings.basePort = 27000;
    settings.nodes = 1;
    settings.engines = 1;
    settings.nodeOptions = { "--max-body-bytes", "4096", "--read-timeout", "1000" };
    return settings;
}

/// A TCP connection that sends raw bytes, also incomplete requests.
class raw_connection {
public:
    explicit raw_connection(int port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    }

    ~raw_connection() { close(m_socket); }

    void send(const std::string& bytes) const
    {
        static_cast<void>(!write(m_socket, bytes.data(), bytes.size()));
    }

    /// Waits up to ten seconds.
    /// @return whether the node closed the connection.
    bool isClosedByNode() const
    {
        constexpr int waitLimitMs = 10000;
        pollfd waiting { m_socket, POLLIN, 0 };
        char byte = 0;
        return poll(&waiting, 1, waitLimitMs) == 1 && read(m_socket, &byte, 1) <= 0;
    }

private:
    int m_socket;
};

} // namespace

TEST_GROUP(Input)
{
    cluster target { makeSettings() };

    void setup() override { target.start(); }
};

TEST(Input, EachInvalidRequestGetsItsErrorCode)
{
    struct row {
        const char* method;
        const char* path;
        std::string body;
        bool hasKey;
        int status;
        const char* code;
    };
    const std::string validBody = R"({"model":"inspection-summary","max_tokens":2,"messages":[{"role":"user","content":"x"}]})";
    const row rows[] = {
        { "POST", "/v1/chat/completions", validBody, true, 200, "" },
        { "POST", "/v1/chat/completions", validBody, false, 401, "unauthorized" },
        { "POST", "/v1/chat/completions", "{\"model\":", true, 400, "malformed_request" },
        { "POST", "/v1/chat/completions", "[]", true, 400, "malformed_request" },
        { "POST", "/v1/chat/completions", R"({"model":"inspection-summary","messages":[]})", true, 400, "malformed_request" },
        { "POST", "/v1/chat/completions", R"({"model":"inspection-summary","messages":[{"role":7}]})", true, 400, "malformed_request" },
        { "POST", "/v1/chat/completions", R"({"model":"other","messages":[{"role":"user","content":"x"}]})", true, 404, "unknown_class" },
        { "POST", "/v1/services/crate-release/releases", "{}", true, 400, "missing_idempotency_key" },
        { "POST", "/v1/services/unknown/x", "{}", true, 404, "unknown_class" },
        { "POST", "/v1/services/stock-lookup/items", "{}", true, 200, "" },
        { "GET", "/v1/requests/node-1.1.999", "", true, 404, "unknown_request" },
        { "GET", "/nowhere", "", true, 404, "unknown_path" },
        { "POST", "/operator/v1/changes", "{}", true, 401, "unauthorized" },
    };
    for (const row& item : rows) {
        std::vector<Http::header> headers;
        if (item.hasKey)
            headers.push_back({ "Authorization", "Bearer " + target.accountKey() });
        const http_answer answer = call(item.method, target.nodeUrl(1) + item.path, item.body, headers);
        LONGS_EQUAL(item.status, answer.status);
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        const std::string code = body.is_object() && body.contains("error") ? body["error"].value("code", "") : "";
        STRCMP_EQUAL(item.code, code.c_str());
    }
}

TEST(Input, AnOversizedBodyIsRefusedAndTheNodeKeepsServing)
{
    const std::string body(100000, 'x');
    const http_answer answer = call("POST", target.nodeUrl(1) + "/v1/chat/completions", body, { { "Authorization", "Bearer " + target.accountKey() } });
    CHECK(answer.status != 200);
    LONGS_EQUAL(200, call("GET", target.nodeUrl(1) + "/healthz", "").status);
}

TEST(Input, IncompleteRequestsAreDisconnectedAndTheNodeKeepsServing)
{
    const char* partialRequests[] = {
        "",
        "POST /v1/chat/comp",
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{\"mod",
    };
    for (const char* bytes : partialRequests) {
        const raw_connection slow(target.settings().basePort + 101);
        slow.send(bytes);
        CHECK(slow.isClosedByNode());
        LONGS_EQUAL(200, call("GET", target.nodeUrl(1) + "/healthz", "").status);
    }
}

TEST(Input, LogsAreJsonLinesWithTypedEventsAndWithoutSecrets)
{
    const stream_request request { "a prompt that nobody should find in a log", 3, 1, 10000, {} };
    const stream_result result = streamChat(target, request);
    releaseCrates(target, "k", "{}", 1, 1);
    // A separate thread writes log lines in batches, so they appear shortly after the answer.
    constexpr int maxPolls = 100;
    std::string log;
    for (int polls = 0; polls < maxPolls && (log.find(result.requestId) == std::string::npos || !log.ends_with('\n')); ++polls) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        log = target.logText("node-1");
    }
    CHECK(log.find(target.accountKey()) == std::string::npos);
    CHECK(log.find("test-operator-key") == std::string::npos);
    CHECK(log.find(request.prompt) == std::string::npos);
    std::istringstream lines(log);
    std::string line;
    bool hasRequest = false;
    while (std::getline(lines, line)) {
        const auto entry = nlohmann::json::parse(line, nullptr, false);
        CHECK(entry.is_object() && entry.contains("event") && entry.contains("time_ms") && entry.contains("level"));
        hasRequest = hasRequest || entry.value("request", "") == result.requestId;
    }
    CHECK(hasRequest);
}

TEST(Input, AllInvalidSettingsAreReportedAtOnceAndTheProgramExits)
{
    constexpr int exitBadSettings = 2;
    constexpr int waitLimitMs = 5000;
    const std::string log = "/tmp/filbertreel-settings-" + std::to_string(getpid()) + ".log";
    process child = startProcess({ NODE_PROGRAM, "--node", "a.b", "--http-listen", "localhost:80", "--policy", "dearest", "--notice", "0" }, { "FILBERTREEL_MAX_IN_FLIGHT=0" }, log);
    LONGS_EQUAL(exitBadSettings, waitForExit(child, waitLimitMs));
    std::ostringstream text;
    text << std::ifstream(log).rdbuf();
    unlink(log.c_str());
    for (const char* setting : { "--node", "--zone", "--region", "--http-listen", "--peer-listen", "--table-url", "--cloud-url", "--policy", "--notice", "--max-in-flight" })
        CHECK_TEXT(text.str().find(std::string("  ") + setting + ":") != std::string::npos, setting);
}

TEST(Input, AnInvalidProposalIsAnsweredWithAllItsErrors)
{
    const http_answer answer = target.propose(1, { { "kind", "class" }, { "body", { { "name", "" }, { "priority", 99 } } } });
    LONGS_EQUAL(400, answer.status);
    LONGS_EQUAL(3, nlohmann::json::parse(answer.body)["mistakes"].size());
}
