#pragma once

/// @file
/// Options and addresses of the gateway's TCP sockets.

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace Gateway {

/// Disables Nagle's algorithm and limits how long a peer that became unreachable without a reset goes undetected while the
/// connection is idle.
void setSocketOptions(boost::asio::ip::tcp::socket& socket);

/// Limits how long such a peer goes undetected while sent bytes are unacknowledged. Also ends the connection of a peer whose
/// receive window stays too small for the next segment, however it answers.
void limitUnacknowledgedTime(boost::asio::ip::tcp::socket& socket);

/// @param address IP number and port.
/// @param error set when the text is no such address.
boost::asio::ip::tcp::endpoint toSocketAddress(const std::string& address, boost::system::error_code& error);

} // namespace Gateway
