#include "Gateway/PeerProgress.h"

#include "Common/DetectionTime.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Gateway {

std::optional<connection_facts> readFacts(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    return connection_facts { info.tcpi_unacked > 0 || info.tcpi_probes > 0, std::chrono::milliseconds(info.tcpi_last_ack_recv) };
}

bool hasVanished(peer_progress& progress, const connection_facts& facts, std::chrono::steady_clock::time_point now)
{
    if (!facts.isAwaitingReply) {
        progress.silentSince.reset();
        return false;
    }
    const bool hasReplied = progress.silentSince && now - facts.sinceReply > *progress.silentSince;
    if (!progress.silentSince || hasReplied)
        progress.silentSince = now;
    return now - *progress.silentSince >= Common::detectionTime;
}

} // namespace Gateway
