#pragma once

/// @file
/// Checks whether an endpoint accepts connections, without sending it a request.

#include <chrono>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace Gateway {

enum class endpoint_reachability {
    Accepting, ///< A connection was established.
    Refused, ///< Nothing listens at the address.
    Unknown, ///< No answer in time, or another error.
};

/// @return the name used in logs.
const char* nameOf(endpoint_reachability reachability);

/// Opens a connection to an endpoint and closes it at once.
/// @param context runs the check.
/// @param address IP address and port.
/// @param delay before the connection is opened.
/// @param timeout how long connecting may take.
/// @param onResult called once with the result.
void checkEndpoint(boost::asio::io_context& context, const std::string& address, std::chrono::milliseconds delay, std::chrono::milliseconds timeout, std::function<void(endpoint_reachability)> onResult);

} // namespace Gateway
