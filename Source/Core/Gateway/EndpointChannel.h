#pragma once

/// @file
/// One connection to an endpoint: sends one request at a time and reads its response as it arrives.
///
/// Uses Boost.Beast instead of libcurl because the gateway must know whether bytes of a request were written (only then
/// may the endpoint have run it), and because a connection must not be reused if bytes follow a complete response.

#include "Common/Ids.h"
#include "Http/Server.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace Gateway {

/// How an HTTP exchange with an endpoint ended.
enum class exchange_end {
    NotSent, ///< Certain: no byte of the request was written.
    Broken, ///< After bytes were written, the connection failed, or the response was invalid or rejected by a callback.
    Complete, ///< The complete response has arrived.
};

struct exchange_result {
    exchange_end end { exchange_end::Broken };
    bool isReusable { false }; ///< The connection may carry another exchange.
    bool hasSurplusBytes { false }; ///< The endpoint sent more than the response.
    std::string surplus {}; ///< The beginning of that.
};

/// How the end of a response's body is marked.
enum class body_framing {
    Length, ///< By a Content-Length; also responses that have no body.
    Chunked, ///< By the last chunk.
    ConnectionEnd, ///< By nothing but the end of the connection.
};

/// @return the name used in logs.
const char* nameOf(body_framing framing);

/// The head of an endpoint's response.
struct response_head {
    int status { 0 };
    std::vector<Http::header> headers;
    body_framing framing { body_framing::Length };
    bool isConnectionReused { false }; ///< The connection has carried an earlier exchange.
};

/// Callbacks of a channel during one exchange. They may cancel the channel.
struct exchange_events {
    /// @return false to abort the exchange.
    std::function<bool(const response_head& head)> onHead;
    /// Bytes of the body. @return false to abort the exchange.
    std::function<bool(std::string_view bytes)> onBytes;
    /// Asked when the response is complete. @return how long to wait for surplus bytes; zero if none matter.
    std::function<std::chrono::milliseconds()> surplusWait {};
    /// Called once, as the last callback, unless the channel is cancelled.
    std::function<void(const exchange_result& result)> onEnd;
};

class endpoint_channel : public std::enable_shared_from_this<endpoint_channel> {
public:
    using tcp = boost::asio::ip::tcp;

    /// @param context runs the channel's callbacks.
    /// @param address IP address and port.
    endpoint_channel(boost::asio::io_context& context, const std::string& address);

    /// Sends a request, connecting first if necessary.
    /// @param bytes head and body of the request.
    /// @param connectTimeout how long connecting may take.
    /// @param events called during this exchange.
    void exchange(std::string bytes, std::chrono::milliseconds connectTimeout, exchange_events events);
    /// Closes the connection at once; no callback follows.
    void cancel();
    /// Watches an idle connection: a close by the endpoint or an unexpected byte makes it unusable.
    /// @param onSurplusBytes called when bytes arrive that belong to no request.
    void watchIdle(std::function<void()> onSurplusBytes);
    /// @return whether the connection is open, idle, and has received nothing since its last response.
    bool isUsable();
    /// @return whether the idle connection has received bytes that belong to no request.
    bool hasSurplusBytes();
    /// @return how long connecting took, which is one round trip; zero until connected.
    Common::duration connectTime() const;
    /// @return number of exchanges started on this connection.
    uint64_t exchanges() const;

private:
    /// Bounds what is buffered of a response that the parser can't use yet, such as a chunk's extension.
    static constexpr size_t maxUnparsedBytes = 65536;

    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void connect(std::chrono::milliseconds timeout);
    void write();
    void readHead();
    void handleHead(const boost::system::error_code& error);
    response_head makeHead() const;
    /// What waits to be read on an idle connection.
    enum class pending_input {
        None,
        Bytes,
        End, ///< The endpoint has closed or reset the connection.
    };
    pending_input peekInput();
    void readBody();
    void endBody();
    void readSurplus();
    void finish(exchange_end end);

    std::string m_address;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer { maxUnparsedBytes };
    std::optional<response_parser> m_parser;
    std::array<char, 8192> m_chunk {};
    std::string m_request;
    exchange_events m_events;
    uint64_t m_exchanges { 0 };
    Common::instant m_connectStarted;
    Common::duration m_connectTime { 0 };
    unsigned m_informationalHeads { 0 }; ///< Received in this exchange.
    bool m_isConnected { false };
    bool m_hasWritten { false };
    bool m_isWriteDone { false };
    bool m_hasWriteFailed { false };
    bool m_isActive { false };
    bool m_isClosed { false };
};

} // namespace Gateway
