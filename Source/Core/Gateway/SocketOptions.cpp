#include "Gateway/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Gateway {

namespace {

    /// If sent data stays unacknowledged for this long, the peer is taken to be down or cut off.
    constexpr int unacknowledgedTimeoutMilliseconds = 3000;
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 3;

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
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMilliseconds);
}

} // namespace Gateway
