#include "Gateway/EndpointZones.h"

#include "Common/Log.h"
#include "Common/Metrics.h"

namespace Gateway {

namespace {

    const Catalog::service* findServiceOf(const gateway_state& state, const Fleet::endpoint& endpoint)
    {
        return state.catalog ? Catalog::findService(*state.catalog, endpoint.service) : nullptr;
    }

    double coldRateOf(const gateway_state& state, const Catalog::service& service)
    {
        return EndpointLimits::coldTokenRate({ service.coldPerSecond, state.coldOvershoot, state.coldSlack });
    }

    /// The endpoints may have lost their caches while nothing was sent to them.
    void assumeZoneCold(gateway_state& state, const Common::zone_name& zone, Common::instant now)
    {
        for (const auto& [id, endpoint] : state.scheduler.endpoints) {
            const Catalog::service* service = endpoint.facts.zone == zone ? findServiceOf(state, endpoint.facts) : nullptr;
            if (service)
                EndpointLimits::assumeCold(state.endpointLimits.warmUps, { id, endpoint.facts.started }, service->coldTime, coldRateOf(state, *service), now);
        }
    }

    void logEvacuation(const gateway_state& state, const Common::zone_name& zone, bool isEvacuated)
    {
        Common::logEvent(Common::log_level::Info, "zone_evacuation", { { "zone", zone.value }, { "evacuated", isEvacuated }, { "requests_left", countInEvacuatedZones(state) } });
    }

} // namespace

void limitColdEndpoints(gateway_state& state, Common::instant now)
{
    for (const auto& [id, endpoint] : state.scheduler.endpoints) {
        const Catalog::service* service = findServiceOf(state, endpoint.facts);
        if (service)
            EndpointLimits::recordWarmUp(state.endpointLimits.warmUps, { id, endpoint.facts.started }, endpoint.facts.warmUpLeft, coldRateOf(state, *service), now);
    }
}

void setEvacuatedZones(gateway_state& state, const std::set<Common::zone_name>& zones, Common::instant now)
{
    const std::set<Common::zone_name> before = std::exchange(state.evacuatedZones, zones);
    for (const Common::zone_name& zone : zones) {
        if (!before.contains(zone))
            logEvacuation(state, zone, true);
    }
    for (const Common::zone_name& zone : before) {
        if (zones.contains(zone))
            continue;
        assumeZoneCold(state, zone, now);
        logEvacuation(state, zone, false);
    }
    Common::setMetric("filbertreel_evacuated_zones", static_cast<double>(zones.size()));
}

size_t countInEvacuatedZones(const gateway_state& state)
{
    size_t count = 0;
    for (const auto& [id, endpoint] : state.scheduler.endpoints) {
        if (state.evacuatedZones.contains(endpoint.facts.zone))
            count += endpoint.placed.size();
    }
    return count;
}

} // namespace Gateway
