#pragma once

/// @file
/// A small face over RESTinio, so that its header is compiled once.

#include "Common/Ids.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

/// One header line.
struct header {
    std::string name;
    std::string value;
};

/// A request as it arrived, whole.
struct incoming_request {
    Common::caller_token token;
    std::string method;
    std::string path;
    std::string query;
    std::vector<header> headers;
    std::string body;
};

/// @param headers the lines to search.
/// @param name lower-case header name.
/// @return the first value, or an empty text.
std::string_view findHeader(const std::vector<header>& headers, std::string_view name);

/// @param query the part of the target after '?'.
/// @param name the parameter to find.
/// @return its value as written, or an empty text.
std::string queryValue(std::string_view query, std::string_view name);

struct server_settings {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 };
    std::vector<std::string> listen; ///< IP numbers and ports; replaces address and port when set.
    uint64_t maxBodyBytes { uint64_t { 1024 } * 1024 };
    size_t maxHeaderCount { 64 };
    size_t maxHeaderBytes { 8192 };
    size_t maxConnections { 4096 };
    std::chrono::milliseconds readTimeout { 10000 };
    std::chrono::milliseconds writeTimeout { 30000 };
};

/// An HTTP server on one thread. All methods but post() and stop() belong to that thread.
class server {
public:
    using request_handler = std::function<void(incoming_request&&)>;
    /// Told after each chunk of a stream: its token, the bytes written and whether the caller is still there.
    using write_observer = std::function<void(Common::caller_token, size_t bytes, bool alive)>;

    server(const server_settings& settings, request_handler onRequest, write_observer onWritten = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Serves until stop(). Throws std::exception when the address can't be bound.
    void run();
    /// Ends run(); may be called from any thread.
    void stop();
    /// Runs a task on the server's thread; may be called from any thread.
    void post(std::function<void()> task);
    /// Runs a task on the server's thread after a delay.
    void runAfter(std::chrono::milliseconds delay, std::function<void()> task);

    /// Answers whole. A token that is gone is ignored.
    void respond(Common::caller_token token, int status, const std::vector<header>& headers, std::string body);
    /// Sends the head of a streamed answer.
    void beginStream(Common::caller_token token, int status, const std::vector<header>& headers);
    /// Sends one chunk of a streamed answer.
    void writeChunk(Common::caller_token token, std::string bytes);
    /// Ends a streamed answer.
    void endStream(Common::caller_token token);
    /// Promises a longer answer than it sends and closes the connection, so that the caller sees a cut.
    void cutAnswer(Common::caller_token token);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Http
