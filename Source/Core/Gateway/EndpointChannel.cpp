#include "Gateway/EndpointChannel.h"

#include "Gateway/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace Gateway {

namespace {

    namespace http = boost::beast::http;
    using boost::system::error_code;

    constexpr uint32_t responseHeadLimitBytes = 32768;
    constexpr unsigned informationalClass = 1;
    constexpr unsigned serverFailureClass = 5;
    constexpr unsigned statusesPerClass = 100;
    /// An endpoint in trouble may send informational heads without end.
    constexpr unsigned maxInformationalHeads = 8;

} // namespace

const char* nameOf(body_framing framing)
{
    switch (framing) {
    case body_framing::Length:
        return "length";
    case body_framing::Chunked:
        return "chunked";
    case body_framing::ConnectionEnd:
        return "connection_end";
    }
    return "unknown";
}

endpoint_channel::endpoint_channel(boost::asio::io_context& context, const std::string& address)
    : m_address(address)
    , m_socket(context)
    , m_timer(context)
{
}

Common::duration endpoint_channel::connectTime() const
{
    return m_connectTime;
}

uint64_t endpoint_channel::exchanges() const
{
    return m_exchanges;
}

bool endpoint_channel::isUsable()
{
    return m_isConnected && !m_isClosed && !m_isActive && peekInput() == pending_input::None;
}

bool endpoint_channel::hasSurplusBytes()
{
    return !m_isClosed && !m_isActive && peekInput() == pending_input::Bytes;
}

endpoint_channel::pending_input endpoint_channel::peekInput()
{
    char byte = 0;
    error_code error;
    m_socket.non_blocking(true, error);
    if (!error)
        m_socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == boost::asio::error::would_block)
        return pending_input::None;
    return error ? pending_input::End : pending_input::Bytes;
}

void endpoint_channel::exchange(std::string bytes, std::chrono::milliseconds connectTimeout, exchange_events events)
{
    m_request = std::move(bytes);
    m_events = std::move(events);
    m_hasWritten = false;
    m_isWriteDone = false;
    m_hasWriteFailed = false;
    m_isActive = true;
    m_informationalHeads = 0;
    ++m_exchanges;
    if (m_isConnected)
        return write();
    connect(connectTimeout);
}

void endpoint_channel::connect(std::chrono::milliseconds timeout)
{
    error_code error;
    const tcp::endpoint target = toSocketAddress(m_address, error);
    if (error) {
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->finish(exchange_end::NotSent); });
        return;
    }
    m_connectStarted = std::chrono::steady_clock::now();
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const error_code& timerError) {
        if (timerError || self->m_isConnected || self->m_isClosed)
            return;
        self->finish(exchange_end::NotSent);
    });
    m_socket.async_connect(target, [self = shared_from_this()](const error_code& connectError) {
        if (self->m_isClosed || !self->m_isActive)
            return;
        self->m_timer.cancel();
        if (connectError)
            return self->finish(exchange_end::NotSent);
        self->m_isConnected = true;
        self->m_connectTime = std::chrono::steady_clock::now() - self->m_connectStarted;
        setSocketOptions(self->m_socket);
        limitUnacknowledgedTime(self->m_socket);
        // What arrives before the request was sent can't be the response to it.
        if (self->peekInput() == pending_input::Bytes)
            return self->finish(exchange_end::NotSent);
        self->write();
    });
}

void endpoint_channel::write()
{
    // From here on the endpoint may have received the request, even if the write reports an error.
    m_hasWritten = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_request), [self = shared_from_this(), exchange = m_exchanges](const error_code& error, size_t) {
        if (self->m_isClosed || exchange != self->m_exchanges)
            return;
        // An endpoint may respond and stop reading before it has the whole body, so a failed write does not end the
        // exchange; it only prevents the reuse of the connection.
        self->m_isWriteDone = !error;
        self->m_hasWriteFailed = static_cast<bool>(error);
    });
    readHead();
}

void endpoint_channel::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(responseHeadLimitBytes);
    m_parser->body_limit(std::numeric_limits<uint64_t>::max());
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& error, size_t) {
        self->handleHead(error);
    });
}

void endpoint_channel::handleHead(const error_code& error)
{
    if (m_isClosed || !m_isActive)
        return;
    if (error)
        return finish(exchange_end::Broken);
    const auto& head = m_parser->get();
    const unsigned statusClass = head.result_int() / statusesPerClass;
    if (statusClass < informationalClass || statusClass > serverFailureClass)
        return finish(exchange_end::Broken);
    if (statusClass == informationalClass)
        return ++m_informationalHeads > maxInformationalHeads ? finish(exchange_end::Broken) : readHead();
    if (!m_events.onHead(makeHead()))
        return finish(exchange_end::Broken);
    readBody();
}

response_head endpoint_channel::makeHead() const
{
    const auto& message = m_parser->get();
    response_head head;
    head.status = static_cast<int>(message.result_int());
    for (const auto& line : message)
        head.headers.push_back({ std::string(line.name_string()), std::string(line.value()) });
    head.isConnectionReused = m_exchanges > 1;
    if (m_parser->chunked())
        head.framing = body_framing::Chunked;
    else if (m_parser->need_eof())
        head.framing = body_framing::ConnectionEnd;
    return head;
}

void endpoint_channel::readBody()
{
    if (m_isClosed || !m_isActive)
        return;
    if (m_parser->is_done())
        return endBody();
    m_parser->get().body().data = m_chunk.data();
    m_parser->get().body().size = m_chunk.size();
    m_parser->get().body().more = true;
    http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code error, size_t) {
        if (self->m_isClosed || !self->m_isActive)
            return;
        if (error == http::error::need_buffer)
            error = {};
        const size_t size = self->m_chunk.size() - self->m_parser->get().body().size;
        const bool isAccepted = size == 0 || self->m_events.onBytes({ self->m_chunk.data(), size });
        if (self->m_isClosed || !self->m_isActive)
            return;
        if (error || !isAccepted)
            return self->finish(exchange_end::Broken);
        self->readBody();
    });
}

void endpoint_channel::endBody()
{
    // The system reports a reset once. If the write met it, the read that follows sees a plain end.
    if (m_parser->need_eof() && m_hasWriteFailed)
        return finish(exchange_end::Broken);
    const bool mayWait = m_buffer.size() == 0 && !m_parser->need_eof() && m_events.surplusWait;
    const std::chrono::milliseconds wait = mayWait ? m_events.surplusWait() : std::chrono::milliseconds(0);
    if (wait.count() == 0)
        return finish(exchange_end::Complete);
    const auto end = [self = shared_from_this(), exchange = m_exchanges](const error_code& error) {
        if (error || self->m_isClosed || !self->m_isActive || exchange != self->m_exchanges)
            return;
        self->readSurplus();
        self->finish(exchange_end::Complete);
    };
    m_timer.expires_after(wait);
    m_timer.async_wait(end);
    m_socket.async_wait(tcp::socket::wait_read, end);
}

void endpoint_channel::readSurplus()
{
    if (peekInput() != pending_input::Bytes)
        return;
    error_code error;
    const size_t size = m_socket.read_some(m_buffer.prepare(m_chunk.size()), error);
    m_buffer.commit(size);
}

void endpoint_channel::finish(exchange_end end)
{
    if (!m_isActive)
        return;
    m_isActive = false;
    m_timer.cancel();
    exchange_result result { end };
    result.hasSurplusBytes = end == exchange_end::Complete && m_buffer.size() > 0;
    if (result.hasSurplusBytes)
        result.surplus.assign(static_cast<const char*>(m_buffer.data().data()), m_buffer.size());
    result.isReusable = end == exchange_end::Complete && !result.hasSurplusBytes && m_isWriteDone && m_parser->keep_alive();
    if (!result.isReusable)
        cancel();
    const exchange_events events = std::move(m_events);
    m_events = {};
    m_request.clear();
    events.onEnd(result);
}

void endpoint_channel::cancel()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_isActive = false;
    m_timer.cancel();
    error_code ignored;
    // The endpoint stops its work when the connection closes; an error of the close has no consequence.
    m_socket.close(ignored);
}

void endpoint_channel::watchIdle(std::function<void()> onSurplusBytes)
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), exchange = m_exchanges, onSurplusBytes = std::move(onSurplusBytes)](const error_code& error) {
        if (error || self->m_isClosed || exchange != self->m_exchanges)
            return;
        // Either the endpoint closed, or it sent bytes that belong to no request.
        const bool hasBytes = self->hasSurplusBytes();
        self->cancel();
        if (hasBytes)
            onSurplusBytes();
    });
}

} // namespace Gateway
