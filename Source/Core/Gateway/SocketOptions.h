#pragma once

/// @file
/// Options of the gateway's TCP sockets.

#include <boost/asio/ip/tcp.hpp>

namespace Gateway {

/// Disables Nagle's algorithm and limits how long a peer that became unreachable without a reset goes undetected.
void setSocketOptions(boost::asio::ip::tcp::socket& socket);

} // namespace Gateway
