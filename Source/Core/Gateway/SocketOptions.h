#pragma once

/// @file
/// Options of the gateway's TCP sockets.

#include <boost/asio/ip/tcp.hpp>

namespace Gateway {

/// No delay, and a bound on how long a peer that fell silent without a reset is believed to be there.
void setSocketOptions(boost::asio::ip::tcp::socket& socket);

} // namespace Gateway
