#pragma once

/// @file
/// One connection to an endpoint: sends a request at a time and reads its answer as it arrives.
///
/// Boost.Beast instead of libcurl: whether bytes of a request were written decides what may be told of it, and bytes
/// behind a complete answer must end the connection.

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

/// How an exchange with an endpoint ended.
enum class exchange_end {
    NotSent, ///< Proven: no byte of the request was written.
    Broken, ///< The connection failed, or what came was no answer, after bytes were written.
    Complete, ///< The answer arrived whole.
};

/// What a channel tells its user during one exchange. The functions may cancel the channel.
struct exchange_events {
    /// The head of the answer. @return false to break the exchange off.
    std::function<bool(int status, const std::vector<Http::header>& headers)> onHead;
    std::function<void(std::string_view bytes)> onBytes;
    /// Called once, last, unless the channel is cancelled.
    std::function<void(exchange_end end, bool isReusable)> onEnd;
};

class endpoint_channel : public std::enable_shared_from_this<endpoint_channel> {
public:
    using tcp = boost::asio::ip::tcp;

    /// @param context runs the channel's callbacks.
    /// @param address IP number and port.
    endpoint_channel(boost::asio::io_context& context, const std::string& address);

    /// Sends a request, connecting first when needed.
    /// @param bytes head and body.
    /// @param connectLimit how long connecting may take.
    void exchange(std::string bytes, std::chrono::milliseconds connectLimit, exchange_events events);
    /// Closes at once; no callback follows.
    void cancel();
    /// Watches an idle connection; a close or a stray byte makes it unusable.
    void watchIdle();
    /// @return whether an idle connection may carry another request.
    bool isUsable() const;
    /// @return how many exchanges were begun.
    uint64_t exchanges() const;

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void connect(std::chrono::milliseconds limit);
    void write();
    void readHead();
    void takeHead(const boost::system::error_code& error);
    void readBody();
    void finish(exchange_end end);

    std::string m_address;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::array<char, 8192> m_chunk {};
    std::string m_request;
    exchange_events m_events;
    uint64_t m_exchanges { 0 };
    bool m_isConnected { false };
    bool m_hasWritten { false };
    bool m_isWriteDone { false };
    bool m_isActive { false };
    bool m_isClosed { false };
};

} // namespace Gateway
