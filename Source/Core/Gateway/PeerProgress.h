#pragma once

/// @file
/// Tells a peer that vanished from one that reads slowly: the system of a slow reader acknowledges what it receives and
/// answers the probes of its closed receive window.

#include <chrono>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

namespace Gateway {

/// What the operating system knows of a connection.
struct connection_facts {
    bool isAwaitingReply { false }; ///< Sent bytes are unacknowledged, or a probe is unanswered.
    std::chrono::milliseconds sinceReply { 0 }; ///< Since the peer last acknowledged anything.
};

/// @return the facts; empty if the system doesn't tell them.
std::optional<connection_facts> readFacts(boost::asio::ip::tcp::socket& socket);

/// How long a peer has left everything unanswered.
struct peer_progress {
    std::optional<std::chrono::steady_clock::time_point> silentSince;
};

/// @param progress changed in place; to be checked several times within the detection time.
/// @param facts of the connection, as they are now.
/// @param now current time.
/// @return whether the peer has vanished.
bool hasVanished(peer_progress& progress, const connection_facts& facts, std::chrono::steady_clock::time_point now);

} // namespace Gateway
