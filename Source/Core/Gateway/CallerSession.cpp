#include "Gateway/CallerSession.h"

#include "Common/Log.h"

#include <algorithm>
#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "Gateway/SocketOptions.h"

namespace Gateway {

namespace {

    namespace http = boost::beast::http;
    using boost::system::error_code;

    constexpr int badRequestStatus = 400;
    constexpr int bodyTooLargeStatus = 413;
    constexpr int headTooLargeStatus = 431;
    constexpr int firstStatusWithBody = 200;
    constexpr int noContentStatus = 204;
    constexpr int notModifiedStatus = 304;
    /// A stream is aborted when this much of it is waiting for a caller that reads too slowly.
    constexpr size_t streamOutboxLimitBytes = size_t { 4 } * 1024 * 1024;
    /// Long enough for a body of the maximum size over the slowest link of the deployments.
    constexpr std::chrono::milliseconds bodyTimeout { 20000 };
    /// How long a close waits for the caller's close. Closing with unread bytes would reset the connection, and the
    /// caller could lose the response.
    constexpr std::chrono::milliseconds lingerTimeout { 1000 };
    /// Added to the idle timeout: a caller may reuse a connection just before the timeout, and that request must arrive.
    constexpr std::chrono::milliseconds idleSlack { 5000 };
    constexpr std::chrono::milliseconds progressInterval { 250 };
    /// Beast keeps bytes here until it can parse them, so a buffer without a bound grows with an endless trailer or chunk
    /// extension. Somewhat more than a head, so that a head that is too large is told apart.
    constexpr size_t bufferBytesBesideHead = 4096;
    /// A larger buffer is given back between requests.
    constexpr size_t keptBufferBytes = 2048;
    /// Memory of a header line besides its characters, here and in the parser.
    constexpr size_t bytesPerHeaderLine = 256;
    /// Time in which the requests that hold the memory are answered or time out.
    constexpr const char* overloadedRetryAfterSeconds = "1";
    constexpr int unavailableStatus = 503;

    std::string writeHead(int status, const std::vector<Http::header>& headers, bool closes)
    {
        const auto reason = http::obsolete_reason(static_cast<http::status>(status));
        std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
        for (const Http::header& line : headers) {
            head += line.name;
            head += ": ";
            head += line.value;
            head += "\r\n";
        }
        if (closes)
            head += "Connection: close\r\n";
        return head;
    }

    bool hasBody(int status)
    {
        return status >= firstStatusWithBody && status != noContentStatus && status != notModifiedStatus;
    }

    /// @return whether another HTTP parser might frame or route the request differently (request smuggling).
    template <typename fields>
    bool isAmbiguous(const fields& head)
    {
        if (head.count(http::field::host) != 1 || head.target().empty() || head.target().front() != '/')
            return true;
        const auto coding = head.find(http::field::transfer_encoding);
        if (coding == head.end())
            return false;
        return head.count(http::field::transfer_encoding) != 1 || !boost::beast::iequals(coding->value(), "chunked");
    }

    int statusOf(const error_code& error)
    {
        // Only trailers and chunk extensions fill the buffer before they can be parsed.
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return headTooLargeStatus;
        if (error == http::error::body_limit)
            return bodyTooLargeStatus;
        return badRequestStatus;
    }

    bool isParseError(const error_code& error)
    {
        return error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
    }

} // namespace

caller_session::caller_session(tcp::socket socket, const session_events& events, connection_id id)
    : m_socket(std::move(socket))
    , m_events(events)
    , m_id(id)
    , m_timer(m_socket.get_executor())
    , m_progressTimer(m_socket.get_executor())
{
}

void caller_session::start()
{
    setSocketOptions(m_socket);
    awaitRequest();
}

bool caller_session::isIdle() const
{
    return !m_isReading && !m_isResponding && !m_isWriting;
}

const char* caller_session::nameOfState() const
{
    if (m_isClosing || m_isClosed)
        return "closing";
    if (m_isReading)
        return "reading";
    if (m_isResponding)
        return "unanswered";
    return m_isWriting ? "writing" : "idle";
}

void caller_session::armTimer(std::chrono::milliseconds after)
{
    m_timer.expires_after(after);
    m_timer.async_wait([self = shared_from_this(), arming = ++m_timerArmings](const error_code& error) {
        if (!error && arming == self->m_timerArmings)
            self->handleTimeout();
    });
}

void caller_session::disarmTimer()
{
    ++m_timerArmings;
    m_timer.cancel();
}

void caller_session::handleTimeout()
{
    if (m_isClosed)
        return;
    // A request has arrived that the pending wait is about to report.
    if (isIdle() && !m_isClosing && hasUnreadInput())
        return;
    if (!isIdle())
        Common::logEvent(Common::log_level::Warning, "session_timed_out", { { "state", nameOfState() }, { "requests", m_requests }, { "buffered_bytes", m_buffer.size() } });
    abort();
}

bool caller_session::hasUnreadInput() const
{
    error_code ignored;
    return m_buffer.size() > 0 || m_socket.available(ignored) > 0;
}

void caller_session::awaitRequest()
{
    if (m_isClosed || m_isClosing)
        return;
    m_parser.emplace();
    m_isReading = false;
    if (m_buffer.size() > 0)
        return readHead();
    if (m_buffer.capacity() > keptBufferBytes)
        m_buffer.shrink_to_fit();
    m_events.onInput(*this, m_requests > 0 ? input_stage::Idle : input_stage::Unused, m_buffer.capacity());
    armTimer(m_events.limits().idleTimeout + idleSlack);
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        if (error || self->m_isClosed || self->m_isClosing)
            return;
        self->readHead();
    });
}

void caller_session::readHead()
{
    const Catalog::input_limits limits = m_events.limits();
    m_isReading = true;
    m_parser->header_limit(limits.headerBytes);
    m_parser->body_limit(limits.bodyBytes);
    m_buffer.max_size(std::max(m_buffer.size(), limits.headerBytes + bufferBytesBesideHead));
    m_headerBytes = 0;
    if (!recordRequest(input_stage::Reading))
        return rejectOverloaded();
    armTimer(limits.headerTimeout);
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& error, size_t) {
        self->handleHead(error);
    });
}

void caller_session::handleHead(const error_code& error)
{
    if (m_isClosed)
        return;
    if (m_isRefused)
        return rejectOverloaded();
    if (error)
        return handleReadError(error);
    const auto& head = m_parser->get();
    if (isAmbiguous(head))
        return rejectAndClose(badRequestStatus);
    m_headers.clear();
    for (const auto& line : head) {
        m_headers.push_back({ std::string(line.name_string()), std::string(line.value()) });
        m_headerBytes += bytesPerHeaderLine + line.name_string().size() + line.value().size();
    }
    if (boost::beast::iequals(head[http::field::expect], "100-continue"))
        send("HTTP/1.1 100 Continue\r\n\r\n");
    readBody();
}

void caller_session::readBody()
{
    m_parser->eager(true);
    armTimer(bodyTimeout);
    readMoreBody();
}

void caller_session::readMoreBody()
{
    if (!recordRequest(input_stage::Reading))
        return rejectOverloaded();
    if (m_parser->is_done())
        return deliverRequest();
    http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& error, size_t) {
        if (self->m_isClosed)
            return;
        if (self->m_isRefused)
            return self->rejectOverloaded();
        if (error)
            return self->handleReadError(error);
        self->readMoreBody();
    });
}

bool caller_session::recordRequest(input_stage stage)
{
    return m_events.onInput(*this, stage, m_buffer.capacity() + m_headerBytes + m_parser->get().body().size());
}

void caller_session::refuseInput()
{
    if (m_isClosed || m_isClosing || m_isRefused)
        return;
    m_isRefused = true;
    Common::logEvent(Common::log_level::Warning, "input_refused", { { "state", nameOfState() }, { "bytes", m_buffer.capacity() + m_headerBytes + m_parser->get().body().size() } });
    // Ends the pending read, whose handler then refuses the request.
    error_code ignored;
    m_socket.cancel(ignored);
}

void caller_session::rejectOverloaded()
{
    disarmTimer();
    m_isReading = false;
    m_isResponding = true;
    m_mustClose = true;
    m_headers.clear();
    m_parser.emplace();
    m_buffer = boost::beast::flat_buffer();
    m_events.onInput(*this, input_stage::Answering, 0);
    respond(unavailableStatus, { { "Content-Type", "application/json" }, { "Retry-After", overloadedRetryAfterSeconds } }, R"({"error":"input_memory"})", true);
}

void caller_session::deliverRequest()
{
    disarmTimer();
    recordRequest(input_stage::Answering);
    auto& message = m_parser->get();
    m_isReading = false;
    m_isResponding = true;
    ++m_requests;
    m_mustClose = m_mustClose || !message.keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    arrived_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = std::move(m_headers);
    request.body = std::move(message.body());
    watchForClose();
    m_events.onRequest(shared_from_this(), std::move(request));
}

void caller_session::watchForClose()
{
    const uint64_t request = m_requests;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), request](const error_code& error) {
        if (error || self->m_isClosed || !self->m_isResponding || request != self->m_requests)
            return;
        char byte = 0;
        error_code peekError;
        self->m_socket.non_blocking(true, peekError);
        const size_t peeked = self->m_socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
        // The bytes belong to the next request and stay unread, so a close is from now on detected only when the
        // response is written.
        if (!peekError && peeked > 0)
            return;
        if (peekError == boost::asio::error::would_block)
            return self->watchForClose();
        self->abort();
    });
}

void caller_session::handleReadError(const error_code& error)
{
    if (isParseError(error))
        return rejectAndClose(statusOf(error));
    close();
}

void caller_session::rejectAndClose(int status)
{
    m_isReading = false;
    m_isResponding = true;
    m_mustClose = true;
    m_parser.emplace();
    m_events.onInput(*this, input_stage::Answering, m_buffer.capacity());
    respond(status, { { "Content-Type", "application/json" } }, R"({"error":"malformed_request"})", true);
}

void caller_session::respond(int status, const std::vector<Http::header>& headers, const std::string& body, bool closes)
{
    if (m_isClosed || !m_isResponding)
        return;
    m_mustClose = m_mustClose || (closes && !hasUnreadInput());
    std::string bytes = writeHead(status, headers, m_mustClose);
    if (hasBody(status))
        bytes += fmt::format("Content-Length: {}\r\n", body.size());
    bytes += "\r\n";
    if (hasBody(status) && !m_isHeadRequest)
        bytes += body;
    send(std::move(bytes));
    finishResponse();
}

void caller_session::beginStream(int status, const std::vector<Http::header>& headers, bool closes)
{
    if (m_isClosed || !m_isResponding)
        return;
    m_mustClose = m_mustClose || (closes && !hasUnreadInput());
    send(writeHead(status, headers, m_mustClose) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_session::streamBytes(std::string_view bytes)
{
    if (m_isClosed || !m_isResponding || bytes.empty())
        return;
    std::string chunk = fmt::format("{:x}\r\n", bytes.size());
    chunk += bytes;
    chunk += "\r\n";
    send(std::move(chunk));
    // Aborted by a later handler, because the owner's callback ends the request that the bytes belong to.
    if (m_outboxBytes > streamOutboxLimitBytes)
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->abort(); });
}

void caller_session::endStream()
{
    if (m_isClosed || !m_isResponding)
        return;
    send("0\r\n\r\n");
    finishResponse();
}

void caller_session::finishResponse()
{
    m_isResponding = false;
    if (!m_isWriting && m_outbox.empty())
        return m_mustClose ? closeGracefully() : awaitRequest();
}

void caller_session::send(std::string bytes)
{
    m_outboxBytes += bytes.size();
    m_outbox.push_back(std::move(bytes));
    if (!m_isWriting)
        writeNext();
    if (!m_isProgressWatched)
        watchProgress();
}

void caller_session::watchProgress()
{
    m_isProgressWatched = true;
    m_progressTimer.expires_after(progressInterval);
    m_progressTimer.async_wait([self = shared_from_this()](const error_code& error) {
        if (!error && !self->m_isClosed)
            self->checkProgress();
    });
}

void caller_session::checkProgress()
{
    const std::optional<connection_facts> facts = readFacts(m_socket);
    m_isProgressWatched = facts && (facts->isAwaitingReply || m_isResponding || m_isWriting);
    if (!m_isProgressWatched)
        return;
    if (hasVanished(m_progress, *facts, std::chrono::steady_clock::now()))
        return abort();
    watchProgress();
}

void caller_session::writeNext()
{
    m_isWriting = true;
    auto batch = std::make_shared<std::string>();
    for (std::string& bytes : m_outbox)
        batch->append(bytes);
    m_outbox.clear();
    boost::asio::async_write(m_socket, boost::asio::buffer(*batch), [self = shared_from_this(), batch](const error_code& error, size_t) {
        self->m_isWriting = false;
        if (self->m_isClosed)
            return;
        if (error)
            return self->abort();
        self->m_outboxBytes -= batch->size();
        if (!self->m_outbox.empty())
            return self->writeNext();
        if (self->m_isResponding || self->m_isReading)
            return;
        if (self->m_mustClose)
            return self->closeGracefully();
        self->awaitRequest();
    });
}

void caller_session::closeWhenIdle()
{
    if (!isIdle() || m_isClosed || m_isClosing || hasUnreadInput())
        return;
    m_isClosing = true;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    armTimer(lingerTimeout);
    awaitCallersClose();
}

/// A request that crosses the close stays unread, so that its caller can tell from the reset that it wasn't taken.
void caller_session::awaitCallersClose()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code&) { self->close(); });
}

void caller_session::closeGracefully()
{
    if (m_isClosing || m_isClosed)
        return;
    m_isClosing = true;
    error_code ignored;
    // Fails if the caller has closed first.
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    armTimer(lingerTimeout);
    drainUntilClosed();
}

void caller_session::drainUntilClosed()
{
    auto bytes = std::make_shared<std::array<char, 1024>>();
    m_socket.async_read_some(boost::asio::buffer(*bytes), [self = shared_from_this(), bytes](const error_code& error, size_t) {
        if (self->m_isClosed)
            return;
        if (error)
            return self->close();
        self->drainUntilClosed();
    });
}

void caller_session::abort()
{
    if (m_isClosed)
        return;
    const bool wasResponding = m_isResponding;
    m_isResponding = false;
    close();
    if (wasResponding)
        m_events.onCallerDisconnected(*this);
}

void caller_session::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    disarmTimer();
    m_progressTimer.cancel();
    error_code ignored;
    // Nothing more can be sent to the caller, so an error of the close has no consequence.
    m_socket.close(ignored);
    m_events.onClosed(*this);
}

} // namespace Gateway
