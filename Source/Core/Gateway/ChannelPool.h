#pragma once

/// @file
/// Pool of idle connections to endpoints. Only requests that may be sent again reuse them, because the endpoint may
/// close an idle connection at the moment a request is written. An endpoint that has sent more than a response gets a new
/// connection for every request for a while, as the surplus may come at any later time.

#include "Gateway/EndpointChannel.h"

#include <optional>
#include <unordered_map>

namespace Gateway {

class channel_pool {
public:
    explicit channel_pool(boost::asio::io_context& context);

    /// @param address IP address and port of an endpoint.
    /// @param mayReuse whether the connection may have carried other requests before.
    /// @return an idle connection from the pool, or a new one that is not connected yet.
    std::shared_ptr<endpoint_channel> acquire(const std::string& address, bool mayReuse);
    /// Returns a connection to the pool; it is closed instead if the endpoint has enough idle connections.
    /// @param keepAlive how long the endpoint keeps it open, if the endpoint states it.
    void release(const std::string& address, const std::shared_ptr<endpoint_channel>& channel, std::optional<std::chrono::milliseconds> keepAlive);
    /// Stops the reuse of connections to an endpoint that has sent bytes which belong to no request.
    void distrust(const std::string& address);

private:
    struct idle_channel {
        std::shared_ptr<endpoint_channel> channel;
        std::chrono::steady_clock::time_point usableUntil;
    };

    boost::asio::io_context& m_context;
    std::unordered_map<std::string, std::vector<idle_channel>> m_idle;
    std::unordered_map<std::string, std::chrono::steady_clock::time_point> m_distrustedUntil;
};

} // namespace Gateway
