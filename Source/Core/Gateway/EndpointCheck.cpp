#include "Gateway/EndpointCheck.h"

#include "Gateway/SocketOptions.h"

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Gateway {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    struct running_check {
        tcp::socket socket;
        boost::asio::steady_timer timer;
        tcp::endpoint target;
        std::function<void(endpoint_reachability)> onResult;
    };

    endpoint_reachability reachabilityOf(const error_code& error)
    {
        if (!error)
            return endpoint_reachability::Accepting;
        return error == boost::asio::error::connection_refused ? endpoint_reachability::Refused : endpoint_reachability::Unknown;
    }

    void connect(const std::shared_ptr<running_check>& check, std::chrono::milliseconds timeout)
    {
        check->timer.expires_after(timeout);
        check->timer.async_wait([check](const error_code& error) {
            error_code ignored;
            if (!error)
                check->socket.close(ignored);
        });
        check->socket.async_connect(check->target, [check](const error_code& error) {
            error_code ignored;
            check->timer.cancel();
            check->socket.close(ignored);
            check->onResult(reachabilityOf(error));
        });
    }

} // namespace

const char* nameOf(endpoint_reachability reachability)
{
    switch (reachability) {
    case endpoint_reachability::Accepting:
        return "accepting";
    case endpoint_reachability::Refused:
        return "refused";
    case endpoint_reachability::Unknown:
        return "unknown";
    }
    return "unknown";
}

void checkEndpoint(boost::asio::io_context& context, const std::string& address, std::chrono::milliseconds delay, std::chrono::milliseconds timeout, std::function<void(endpoint_reachability)> onResult)
{
    error_code error;
    const tcp::endpoint target = toSocketAddress(address, error);
    if (error)
        return boost::asio::post(context, [onResult = std::move(onResult)] { onResult(endpoint_reachability::Unknown); });
    const auto check = std::make_shared<running_check>(running_check { tcp::socket(context), boost::asio::steady_timer(context, delay), target, std::move(onResult) });
    check->timer.async_wait([check, timeout](const error_code&) { connect(check, timeout); });
}

} // namespace Gateway
