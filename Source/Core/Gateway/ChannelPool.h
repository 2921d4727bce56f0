#pragma once

/// @file
/// Idle connections to endpoints, kept for requests that may be repeated.

#include "Gateway/EndpointChannel.h"

#include <optional>
#include <unordered_map>

namespace Gateway {

class channel_pool {
public:
    explicit channel_pool(boost::asio::io_context& context);

    /// @param address IP number and port of an endpoint.
    /// @param mayReuse whether a connection that carried another request may serve.
    /// @return a connection that carries no request.
    std::shared_ptr<endpoint_channel> take(const std::string& address, bool mayReuse);
    /// Keeps a connection for later.
    /// @param keepAlive how long the endpoint keeps it, when it says so.
    void giveBack(const std::string& address, const std::shared_ptr<endpoint_channel>& channel, std::optional<std::chrono::milliseconds> keepAlive);

private:
    struct idle_channel {
        std::shared_ptr<endpoint_channel> channel;
        std::chrono::steady_clock::time_point usableUntil;
    };

    boost::asio::io_context& m_context;
    std::unordered_map<std::string, std::vector<idle_channel>> m_idle;
};

} // namespace Gateway
