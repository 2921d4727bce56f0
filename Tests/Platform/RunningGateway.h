#pragma once

/// @file
/// A gateway between scripted endpoints and raw callers, and the answers that most scripts are made of.

#include "Gateway/GatewayDuty.h"
#include "Platform/ScriptedEndpoint.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace PlatformTests {

inline const std::string answerHead = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\n";
inline const std::string completeAnswer = answerHead + "Content-Length: 5\r\n\r\nhello";
inline const std::string notExecutedAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
inline const std::string failedAnswer = "HTTP/1.1 500 Oops\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.2\r\nContent-Length: 3\r\n\r\nbad";
inline const std::string streamHead = answerHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// @return a catalog with the routes /once/ (at most once), /idem/ (idempotent), /stream/ and /resume/ (a resumable stream).
Catalog::catalog_pointer makeTestCatalog();

/// @return the text as one chunk of a chunked body.
std::string chunk(const std::string& text);

/// A gateway on its own port, with one scripted endpoint for each script.
struct running_gateway {
    uint16_t port { findFreePort() };
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    Fleet::endpoint_map listed; ///< What the store lists; its ids are e1, e2 and so on.
    std::unique_ptr<Gateway::gateway_duty> duty;
    std::thread thread;

    explicit running_gateway(const std::vector<std::vector<scripted_answer>>& scripts, bool hasCatalog = true, Gateway::gateway_outlets outlets = { [](Gateway::interval_report&&) {}, {}, {}, {} });
    ~running_gateway();
    running_gateway(const running_gateway&) = delete;
    running_gateway& operator=(const running_gateway&) = delete;

    /// @return the number of requests that reached any endpoint.
    size_t arrivals() const;
    /// Sends the gateway the endpoints of `listed` that haven't gone down, as after a read of the store.
    void sendListing();
};

/// Returns once connections to a local port are accepted. Throws std::runtime_error if they never are.
void waitUntilListening(uint16_t port);

/// @return a POST request with attempt id "id7" and the key of a known account.
std::string makeRequest(const std::string& target, const std::string& extraLines = "", const std::string& body = "body", const std::string& key = "k1");

} // namespace PlatformTests
