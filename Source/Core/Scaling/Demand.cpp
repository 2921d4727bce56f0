#include "Scaling/Demand.h"

#include <algorithm>
#include <cmath>

namespace Scaling {

namespace {

    /// Single requests are large: only an average over some seconds tells the demand from its noise. Both directions
    /// count alike, since an estimate that rises faster than it falls lies above the demand at all times.
    constexpr milliseconds averagingTime { 3000 };
    /// Callers of a silent node have found another one by then, which reports their demand.
    constexpr milliseconds silenceLimit { 2500 };

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

void noteDemand(demand_book& book, const node_demand& heard, Common::instant now)
{
    for (const auto& [service, engineMs] : heard.engineMs) {
        smoothed_demand& item = book.services[service][heard.node];
        item.zone = heard.zone;
        item.heardAt = now;
        smooth(item, engineMs / std::max(1.0, toMs(heard.interval)), heard.interval);
    }
    for (auto& [service, nodes] : book.services) {
        const auto known = nodes.find(heard.node);
        if (known == nodes.end() || heard.engineMs.contains(service))
            continue;
        known->second.heardAt = now;
        smooth(known->second, 0, heard.interval);
    }
}

std::map<Common::zone_name, busy_engines> demandByZone(const demand_book& book, const Common::service_name& service, Common::instant now)
{
    std::map<Common::zone_name, busy_engines> zones;
    const auto found = book.services.find(service);
    if (found == book.services.end())
        return zones;
    for (const auto& [node, item] : found->second) {
        if (now - item.heardAt <= silenceLimit)
            zones[item.zone].value += item.level;
    }
    return zones;
}

} // namespace Scaling
