#pragma once

/// @file
/// One connection of a caller: reads a request at a time and writes its answer.
///
/// Boost.Beast instead of RESTinio: an answer that breaks off midway must end with a closed connection without its last
/// chunk, a caller's close must be noticed while its answer is pending, and bare line feeds must be refused.

#include "Catalog/Catalog.h"
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

/// What a session tells its owner. None of the functions may block.
struct session_events {
    /// A whole request was read.
    std::function<void(const caller_session_pointer&, arrived_request&&)> onRequest;
    /// The caller went away before its answer was complete.
    std::function<void(caller_session&)> onGone;
    /// The connection is closed for good.
    std::function<void(caller_session&)> onClosed;
    /// @return the limits in force.
    std::function<Catalog::input_limits()> limits;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    using tcp = boost::asio::ip::tcp;

    caller_session(tcp::socket socket, const session_events& events);

    /// Waits for the first request.
    void start();
    /// Answers whole.
    /// @param closes whether this is the last answer on the connection.
    void respond(int status, const std::vector<Http::header>& headers, const std::string& body, bool closes);
    /// Sends the head of an answer whose length is not known yet.
    void beginStream(int status, const std::vector<Http::header>& headers, bool closes);
    /// Sends a part of a streamed answer.
    void streamBytes(std::string_view bytes);
    /// Completes a streamed answer.
    void endStream();
    /// Closes at once, so that an unfinished answer looks unfinished.
    void abort();
    /// Closes an idle connection; one with a request in progress closes after its answer.
    void closeWhenIdle();
    /// @return whether no request is being read or answered.
    bool isIdle() const;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void awaitRequest();
    void readHead();
    void readBody();
    void takeHead(const boost::system::error_code& error);
    void deliver();
    void rejectUnreadable(const boost::system::error_code& error);
    void rejectAndClose(int status);
    void watchForClose();
    void send(std::string bytes);
    void writeNext();
    void finishAnswer();
    void closeGracefully();
    void drainUntilClosed();
    void close();
    void armTimer(std::chrono::milliseconds after);

    tcp::socket m_socket;
    const session_events& m_events;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::vector<Http::header> m_headers;
    std::deque<std::string> m_outbox;
    size_t m_outboxBytes { 0 };
    uint64_t m_requests { 0 };
    bool m_isWriting { false };
    bool m_isAnswering { false };
    bool m_isReading { false };
    bool m_isHeadRequest { false };
    bool m_mustClose { false };
    bool m_isClosing { false };
    bool m_isClosed { false };
};

} // namespace Gateway
