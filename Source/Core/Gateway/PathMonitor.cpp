#include "Gateway/PathMonitor.h"

#include "Common/Log.h"
#include "Common/Metrics.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace Gateway {

namespace {

    /// Endpoints that are checked in a round.
    constexpr size_t checksPerRound = 3;
    constexpr milliseconds checkTimeout { 400 };
    /// Between rounds while the paths are sound, and while they are lost.
    constexpr milliseconds soundInterval { 300 };
    constexpr milliseconds lostInterval { 500 };

} // namespace

path_monitor::path_monitor(boost::asio::io_context& context, gateway_state& state)
    : m_context(context)
    , m_state(state)
{
}

bool path_monitor::areLost(const Common::service_name& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.areLost;
}

void path_monitor::suspect(const Common::service_name& service, Common::instant now)
{
    const service_paths& paths = m_services[service];
    if (paths.pendingChecks == 0 && now >= paths.nextRound)
        startRound(service, milliseconds(0));
}

std::vector<std::string> path_monitor::chooseAddresses(const Common::service_name& service)
{
    std::vector<std::string> addresses;
    for (const auto& [id, endpoint] : m_state.scheduler.endpoints) {
        if (endpoint.facts.service == service && endpoint.facts.phase == Fleet::endpoint_phase::Ready && !m_state.evacuatedZones.contains(endpoint.facts.zone))
            addresses.push_back(endpoint.facts.address);
    }
    for (size_t chosen = 0; chosen < std::min(checksPerRound, addresses.size()); ++chosen) {
        const auto left = static_cast<uint32_t>(addresses.size() - chosen);
        std::swap(addresses[chosen], addresses[chosen + Common::uniformBelow(m_state.scheduler.random, left)]);
    }
    addresses.resize(std::min(checksPerRound, addresses.size()));
    return addresses;
}

void path_monitor::startRound(const Common::service_name& service, milliseconds delay)
{
    service_paths& paths = m_services[service];
    const std::vector<std::string> addresses = chooseAddresses(service);
    // Without an endpoint there is no path that could be lost.
    if (addresses.empty()) {
        paths.areLost = false;
        return;
    }
    paths.pendingChecks = addresses.size();
    paths.hasAccepted = false;
    for (const std::string& address : addresses)
        checkEndpoint(m_context, address, delay, checkTimeout, [this, service](endpoint_reachability result) { handleResult(service, result); });
}

void path_monitor::handleResult(const Common::service_name& service, endpoint_reachability result)
{
    service_paths& paths = m_services[service];
    paths.hasAccepted = paths.hasAccepted || result == endpoint_reachability::Accepting;
    --paths.pendingChecks;
    if (paths.pendingChecks == 0)
        endRound(service, paths);
}

void path_monitor::endRound(const Common::service_name& service, service_paths& paths)
{
    const bool wereLost = std::exchange(paths.areLost, !paths.hasAccepted);
    paths.nextRound = std::chrono::steady_clock::now() + soundInterval;
    if (wereLost != paths.areLost) {
        Common::logEvent(Common::log_level::Warning, paths.areLost ? "paths_lost" : "paths_restored", { { "service", service.value } });
        Common::setMetric(fmt::format("filbertreel_paths_lost{{service=\"{}\"}}", service.value), paths.areLost ? 1 : 0);
    }
    if (wereLost && !paths.areLost)
        Scheduling::readmitEndpoints(m_state.scheduler, service);
    if (paths.areLost)
        startRound(service, lostInterval);
}

} // namespace Gateway
