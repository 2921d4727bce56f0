#include "Scaling/Demand.h"

#include <algorithm>
#include <cmath>

namespace Scaling {

namespace {

    /// Time constant of the average. Single requests are large, so only an average over several seconds filters out the
    /// noise. Increases and decreases have the same weight: an estimate that rises faster than it falls would always be
    /// too high.
    constexpr milliseconds averagingTime { 3000 };
    /// Older reports are ignored: by then the callers of a failed node have moved to other nodes, which report their
    /// demand. Nodes of a large fleet report rarely, and a single late report must not lower the demand.
    constexpr milliseconds minReportLifetime { 2500 };
    constexpr int reportsPerLifetime = 2;

    bool isCurrent(const smoothed_demand& item, Common::instant now)
    {
        return now - item.receivedAt <= std::max(minReportLifetime, reportsPerLifetime * item.interval);
    }

    double toMs(Common::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    void smooth(smoothed_demand& item, double level, milliseconds interval)
    {
        const double weight = 1 - std::exp(-toMs(interval) / toMs(averagingTime));
        item.level += (level - item.level) * weight;
    }

} // namespace

void recordDemand(demand_tracker& tracker, const node_demand& report, Common::instant now)
{
    for (const auto& [service, engineMs] : report.engineMs) {
        smoothed_demand& item = tracker.services[service][report.node];
        item.zone = report.zone;
        item.receivedAt = now;
        item.interval = report.interval;
        smooth(item, engineMs / std::max(1.0, toMs(report.interval)), report.interval);
    }
    for (auto& [service, nodes] : tracker.services) {
        const auto known = nodes.find(report.node);
        if (known == nodes.end() || report.engineMs.contains(service))
            continue;
        known->second.receivedAt = now;
        smooth(known->second, 0, report.interval);
    }
}

std::map<Common::zone_name, busy_engines> demandByZone(const demand_tracker& tracker, const Common::service_name& service, Common::instant now)
{
    std::map<Common::zone_name, busy_engines> zones;
    const auto found = tracker.services.find(service);
    if (found == tracker.services.end())
        return zones;
    for (const auto& [node, item] : found->second) {
        if (isCurrent(item, now))
            zones[item.zone].value += item.level;
    }
    return zones;
}

} // namespace Scaling
