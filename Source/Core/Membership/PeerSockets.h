#pragma once

/// @file
/// The ZeroMQ sockets of a node to its peers, opened when first used and closed when idle.

#include "Common/Ids.h"

#include <string>
#include <unordered_map>

#include <zmq.hpp>

namespace Membership {

class peer_sockets {
public:
    /// @return the context that the node's own listening socket shares.
    zmq::context_t& context() { return m_context; }

    /// Sends without waiting; a message for a peer whose queue is full is dropped and counted.
    /// @param address IP number and port of the peer.
    /// @param bytes one serialized envelope.
    /// @param now the present time.
    void send(const std::string& address, const std::string& bytes, Common::instant now);

    /// Closes what has not been used for a while.
    void closeIdle(Common::instant now);

    /// Closes all sockets.
    void closeAll() { m_sockets.clear(); }

private:
    struct open_socket {
        zmq::socket_t socket;
        Common::instant lastUsed;
    };

    open_socket& socketTo(const std::string& address);

    zmq::context_t m_context { 1 };
    std::unordered_map<std::string, open_socket> m_sockets;
};

} // namespace Membership
