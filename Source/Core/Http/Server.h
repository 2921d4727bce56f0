#pragma once

/// @file
/// An HTTP server that hides RESTinio, so that only Server.cpp compiles its headers.

#include "Common/Ids.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

/// An HTTP header field.
struct header {
    std::string name;
    std::string value;
};

/// A complete request as received.
struct incoming_request {
    Common::caller_token token;
    std::string method;
    std::string path;
    std::string query;
    std::vector<header> headers;
    std::string body;
};

/// @param headers the header fields to search; their names may have any case.
/// @param name lower-case header name.
/// @return the value of the first match, or an empty text. It refers to @p headers.
std::string_view findHeader(const std::vector<header>& headers, std::string_view name);

/// @param query the part of the request target after '?'.
/// @param name the parameter to find.
/// @return its value without percent-decoding, or an empty text.
std::string queryValue(std::string_view query, std::string_view name);

struct server_settings {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 };
    std::vector<std::string> listen; ///< Addresses as "IP:port"; when not empty, used instead of address and port.
    uint64_t maxBodyBytes { uint64_t { 1024 } * 1024 };
    size_t maxHeaderCount { 64 };
    size_t maxHeaderBytes { 8192 };
    size_t maxConnections { 4096 };
    std::chrono::milliseconds readTimeout { 10000 };
    std::chrono::milliseconds writeTimeout { 30000 };
};

/// An HTTP server on the thread that calls run(). Only post() and stop() may be called from other threads.
class server {
public:
    using request_handler = std::function<void(incoming_request&&)>;
    /// Called after each chunk of a stream was written or failed: its token, the size of the chunk, and false once the
    /// connection to the caller has failed.
    using write_observer = std::function<void(Common::caller_token, size_t bytes, bool isConnected)>;

    server(const server_settings& settings, request_handler onRequest, write_observer onWritten = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Serves requests until stop() is called. Throws std::exception when an address can't be bound.
    void run();
    /// Makes run() return; may be called from any thread.
    void stop();
    /// Runs a task on the server's thread; may be called from any thread.
    void post(std::function<void()> task);
    /// Runs a task on the server's thread after a delay.
    void runAfter(std::chrono::milliseconds delay, std::function<void()> task);

    /// Sends a complete response. A token without an open request is ignored, here and in the methods below.
    void respond(Common::caller_token token, int status, const std::vector<header>& headers, std::string body);
    /// Sends the status line and the headers of a chunked response.
    void beginStream(Common::caller_token token, int status, const std::vector<header>& headers);
    /// Sends one chunk of a chunked response.
    void writeChunk(Common::caller_token token, std::string bytes);
    /// Ends a chunked response.
    void endStream(Common::caller_token token);
    /// Sends less than its Content-Length and closes the connection, so that the caller sees a truncated response.
    void cutAnswer(Common::caller_token token);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Http
