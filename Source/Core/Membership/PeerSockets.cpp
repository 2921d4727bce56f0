#include "Membership/PeerSockets.h"

#include "Common/DetectionTime.h"
#include "Common/Metrics.h"

namespace Membership {

namespace {

    constexpr int maxQueuedMessagesPerPeer = 256;
    constexpr std::chrono::seconds idleSocketTimeout { 30 };

} // namespace

peer_sockets::open_socket* peer_sockets::socketTo(const std::string& address)
{
    const auto found = m_sockets.find(address);
    if (found != m_sockets.end())
        return &found->second;
    zmq::socket_t socket(m_context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, maxQueuedMessagesPerPeer);
    // A connection that fails without a TCP reset is detected by missing heartbeats and replaced after the timeout.
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(std::chrono::milliseconds(Common::probeInterval).count()));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(Common::heartbeatTimeout.count()));
    try {
        socket.connect("tcp://" + address);
    } catch (const zmq::error_t&) {
        return nullptr;
    }
    return &m_sockets.emplace(address, open_socket { std::move(socket), {} }).first->second;
}

void peer_sockets::send(const std::string& address, const std::string& bytes, Common::instant now)
{
    open_socket* peer = socketTo(address);
    if (peer == nullptr) {
        Common::countMetric("filbertreel_peer_addresses_unusable_total");
        return;
    }
    peer->lastUsed = now;
    if (!peer->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        Common::countMetric("filbertreel_peer_sends_refused_total");
        return;
    }
    Common::countMetric("filbertreel_peer_bytes_sent_total", bytes.size());
    Common::countMetric("filbertreel_peer_messages_sent_total");
}

void peer_sockets::closeIdle(Common::instant now)
{
    std::erase_if(m_sockets, [now](const auto& entry) { return now - entry.second.lastUsed >= idleSocketTimeout; });
}

} // namespace Membership
