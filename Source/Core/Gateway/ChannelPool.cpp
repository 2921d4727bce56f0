#include "Gateway/ChannelPool.h"

#include "Common/Log.h"

#include <algorithm>

namespace Gateway {

namespace {

    constexpr size_t maxIdlePerEndpoint = 4;
    constexpr std::chrono::milliseconds assumedKeepAlive { 1500 };
    /// Only this share of the keep-alive time is used, as an endpoint may close somewhat before the time it states.
    constexpr double usedShareOfKeepAlive = 0.6;
    /// Longer than any request, so that a late copy of a response finds its connection closed.
    constexpr std::chrono::seconds distrustTime { 60 };

} // namespace

channel_pool::channel_pool(boost::asio::io_context& context)
    : m_context(context)
{
}

std::shared_ptr<endpoint_channel> channel_pool::acquire(const std::string& address, bool mayReuse)
{
    const auto found = m_idle.find(address);
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_distrustedUntil, [now](const auto& entry) { return entry.second <= now; });
    while (mayReuse && found != m_idle.end() && !found->second.empty()) {
        const idle_channel candidate = std::move(found->second.back());
        found->second.pop_back();
        if (candidate.channel->isUsable() && now < candidate.usableUntil)
            return candidate.channel;
        const bool hasSurplusBytes = candidate.channel->hasSurplusBytes();
        candidate.channel->cancel();
        if (hasSurplusBytes) {
            distrust(address);
            break;
        }
    }
    return std::make_shared<endpoint_channel>(m_context, address);
}

void channel_pool::release(const std::string& address, const std::shared_ptr<endpoint_channel>& channel, std::optional<std::chrono::milliseconds> keepAlive)
{
    std::vector<idle_channel>& idle = m_idle[address];
    std::erase_if(idle, [](const idle_channel& entry) { return !entry.channel->isUsable(); });
    if (idle.size() >= maxIdlePerEndpoint || m_distrustedUntil.contains(address))
        return channel->cancel();
    const std::chrono::duration<double, std::milli> usableTime(static_cast<double>(keepAlive.value_or(assumedKeepAlive).count()) * usedShareOfKeepAlive);
    idle.push_back({ channel, std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::milliseconds>(usableTime) });
    channel->watchIdle([this, address] { distrust(address); });
}

void channel_pool::distrust(const std::string& address)
{
    if (m_distrustedUntil.insert_or_assign(address, std::chrono::steady_clock::now() + distrustTime).second)
        Common::logEvent(Common::log_level::Warning, "surplus_bytes_received", { { "address", address } });
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return;
    for (const idle_channel& entry : found->second)
        entry.channel->cancel();
    m_idle.erase(found);
}

} // namespace Gateway
