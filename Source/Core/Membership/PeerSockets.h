#pragma once

/// @file
/// ZeroMQ push sockets to a node's peers, opened on first use and closed when idle.

#include "Common/Ids.h"

#include <string>
#include <unordered_map>

#include <zmq.hpp>

namespace Membership {

/// Not thread-safe: used by the thread of the peer duty alone.
class peer_sockets {
public:
    /// @return the context that the node's own listening socket shares.
    zmq::context_t& context() { return m_context; }

    /// Sends without blocking; if the peer's queue is full, the message is dropped and counted in a metric.
    /// @param address IP number and port of the peer.
    /// @param bytes one serialized envelope.
    /// @param now the current time.
    void send(const std::string& address, const std::string& bytes, Common::instant now);

    /// Closes the sockets whose last message was too long ago, such as those to nodes that have left.
    /// @param now the current time.
    void closeIdle(Common::instant now);

    void closeAll() { m_sockets.clear(); }

private:
    struct open_socket {
        zmq::socket_t socket;
        Common::instant lastUsed;
    };

    open_socket* socketTo(const std::string& address);

    zmq::context_t m_context { 1 };
    std::unordered_map<std::string, open_socket> m_sockets;
};

} // namespace Membership
