#pragma once

/// @file
/// One connection of a caller: reads one request at a time and writes its response.
///
/// Uses Boost.Beast instead of RESTinio because a response that is aborted midway must end with a closed connection
/// without its last chunk, a close by the caller must be detected while its response is pending, and bare line feeds
/// must be rejected.

#include "Catalog/Catalog.h"
#include "Gateway/InputBudget.h"
#include "Gateway/PeerProgress.h"
#include "Http/Server.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Gateway {

class caller_session;
using caller_session_pointer = std::shared_ptr<caller_session>;

/// A request as the caller sent it.
struct arrived_request {
    std::string method;
    std::string target; ///< Path and query, byte for byte.
    std::vector<Http::header> headers;
    std::string body;
};

/// Callbacks from a session to its owner. They must not block.
struct session_events {
    /// A complete request was read.
    std::function<void(const caller_session_pointer&, arrived_request&&)> onRequest;
    /// The caller disconnected, or the session was aborted, before the response was complete.
    std::function<void(caller_session&)> onCallerDisconnected;
    /// The connection is closed. If a response was pending, onCallerDisconnected follows.
    std::function<void(caller_session&)> onClosed;
    /// The connection is used for something else, or its request holds more.
    /// @return false if the request has to be refused because those of all callers hold too much.
    std::function<bool(caller_session&, input_stage, size_t bytes)> onInput;
    /// @return the current limits on requests.
    std::function<Catalog::input_limits()> limits;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    using tcp = boost::asio::ip::tcp;

    caller_session(tcp::socket socket, const session_events& events, connection_id id);

    /// Waits for the first request.
    void start();
    /// Sends a complete response.
    /// @param closes whether the connection is closed after this response, unless the caller has already sent more.
    void respond(int status, const std::vector<Http::header>& headers, const std::string& body, bool closes);
    /// Sends the head of a response whose length is not known yet, with chunked transfer coding.
    void beginStream(int status, const std::vector<Http::header>& headers, bool closes);
    /// Sends a part of a streamed response as one chunk.
    void streamBytes(std::string_view bytes);
    /// Completes a streamed response with its last chunk.
    void endStream();
    /// Closes the connection at once, so that the caller sees an unfinished response as incomplete.
    void abort();
    /// Closes the connection if it is idle and nothing that the caller has sent is unread.
    void closeWhenIdle();
    /// @return whether no request is being read and no response is pending.
    bool isIdle() const;
    connection_id id() const { return m_id; }
    /// Refuses the request that is being read and closes the connection.
    void refuseInput();
    /// @return bytes of responses that the caller hasn't read.
    size_t unreadBytes() const { return m_outboxBytes; }
    /// @return what the session is doing, as log lines name it.
    const char* nameOfState() const;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void awaitRequest();
    void readHead();
    void readBody();
    void readMoreBody();
    /// @return false if the request is refused.
    bool recordRequest(input_stage stage);
    void rejectOverloaded();
    void handleHead(const boost::system::error_code& error);
    void deliverRequest();
    void handleReadError(const boost::system::error_code& error);
    void rejectAndClose(int status);
    void watchForClose();
    void send(std::string bytes);
    void writeNext();
    /// While the caller has something to receive, checks that it hasn't vanished.
    void watchProgress();
    void checkProgress();
    void finishResponse();
    bool hasUnreadInput() const;
    void closeGracefully();
    void awaitCallersClose();
    void drainUntilClosed();
    void close();
    void armTimer(std::chrono::milliseconds after);
    void disarmTimer();
    void handleTimeout();

    tcp::socket m_socket;
    const session_events& m_events;
    connection_id m_id;
    boost::asio::steady_timer m_timer;
    uint64_t m_timerArmings { 0 }; ///< Tells a time limit that was replaced after its expiry was queued.
    boost::asio::steady_timer m_progressTimer;
    peer_progress m_progress;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::vector<Http::header> m_headers;
    size_t m_headerBytes { 0 }; ///< Held by the parsed head of the request that is being read.
    std::deque<std::string> m_outbox;
    size_t m_outboxBytes { 0 };
    uint64_t m_requests { 0 };
    bool m_isWriting { false };
    bool m_isProgressWatched { false };
    bool m_isResponding { false };
    bool m_isReading { false };
    bool m_isRefused { false }; ///< The request that is being read is refused once its pending read has ended.
    bool m_isHeadRequest { false };
    bool m_mustClose { false };
    bool m_isClosing { false };
    bool m_isClosed { false };
};

} // namespace Gateway
