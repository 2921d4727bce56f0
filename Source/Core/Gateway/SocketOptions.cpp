#include "Gateway/SocketOptions.h"

#include "Common/Address.h"
#include "Common/DetectionTime.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>

namespace Gateway {

namespace {

    void setOption(int socket, int level, int name, int value)
    {
        // A failure is ignored: the socket still works, and a dead peer is then only detected by the request's timeouts.
        static_cast<void>(setsockopt(socket, level, name, &value, sizeof(value)));
    }

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(Common::probeInterval.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(Common::probeInterval.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, Common::probeCount);
}

void limitUnacknowledgedTime(boost::asio::ip::tcp::socket& socket)
{
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(Common::detectionTime.count()));
}

boost::asio::ip::tcp::endpoint toSocketAddress(const std::string& address, boost::system::error_code& error)
{
    const auto parsed = Common::parseAddress(address);
    if (!parsed) {
        error = boost::asio::error::invalid_argument;
        return {};
    }
    return { boost::asio::ip::make_address(parsed->ip, error), parsed->port };
}

} // namespace Gateway
