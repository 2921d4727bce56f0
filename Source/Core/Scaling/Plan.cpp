#include "Scaling/Plan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Scaling {

namespace {

    /// Share of an engine's time that requests may use; the rest keeps queueing times short.
    constexpr double targetUtilization = 0.75;
    /// Reclaimable endpoints ordered for each one needed, to survive the loss of one zone.
    constexpr double reclaimableFactor = 1.5;
    /// Utilization assumed for the initial endpoints while no demand is known.
    constexpr double assumedUtilization = 0.4;
    constexpr milliseconds retryDelay { 500 };
    /// A confirmed order is repeated at this interval, in case the cloud lost it.
    constexpr milliseconds repeatInterval { 20000 };
    /// The count is lowered only after the lower count has been sufficient for this long.
    constexpr milliseconds decreaseDelay { 6000 };

    /// Time until a zone without capacity is asked again.
    constexpr milliseconds exhaustedRetryDelay { 2000 };
    /// Time for which a zone counts as exhausted. Longer than the retry delay, so that it lasts until the next answer.
    constexpr milliseconds exhaustedDuration { 3000 };

    struct zone_need {
        Common::zone_name zone;
        double needed { 0 }; ///< Endpoints.
        double price { 1 };
        uint32_t supplied { 0 }; ///< Ready reclaimable endpoints.
        uint32_t presentPlain { 0 }; ///< Ready plain endpoints.
        uint32_t reclaimable { 0 }; ///< Reclaimable endpoints wanted.
        uint32_t plain { 0 }; ///< Plain endpoints wanted.
        uint32_t maxPlain { 0 }; ///< Maximum of `plain`.
    };

    double totalOf(const std::vector<zone_need>& zones)
    {
        double total = 0;
        for (const zone_need& item : zones)
            total += item.needed;
        return total;
    }

    double busyEnginesOf(const plan_input& input, const Common::zone_name& zone, size_t zones)
    {
        if (input.demand.empty())
            return assumedUtilization * input.initialCount / static_cast<double>(std::max<size_t>(1, zones));
        const auto known = input.demand.find(zone);
        return known == input.demand.end() ? 0 : known->second.value;
    }

    /// @return what each zone in use needs besides its own demand, in endpoints.
    double neededForEvacuated(const Catalog::scaling_bounds& bounds, const plan_input& input)
    {
        const size_t zones = bounds.zonePrices.size();
        double needed = 0;
        size_t inUse = 0;
        for (const auto& [zone, price] : bounds.zonePrices) {
            if (input.evacuated.contains(zone))
                needed += busyEnginesOf(input, zone, zones) / targetUtilization;
            else
                ++inUse;
        }
        return inUse == 0 ? 0 : needed / static_cast<double>(inUse);
    }

    std::vector<zone_need> needsByZone(const Catalog::service& service, const plan_input& input)
    {
        const Catalog::scaling_bounds& bounds = *service.scaling;
        const double forEvacuated = neededForEvacuated(bounds, input);
        std::vector<zone_need> needs;
        for (const auto& [zone, price] : bounds.zonePrices) {
            if (input.evacuated.contains(zone))
                continue;
            zone_need need;
            need.zone = zone;
            need.price = price;
            need.needed = busyEnginesOf(input, zone, bounds.zonePrices.size()) / targetUtilization + forEvacuated;
            const auto supply = input.supply.find(zone);
            need.supplied = supply == input.supply.end() ? 0 : supply->second.reclaimable;
            need.presentPlain = supply == input.supply.end() ? 0 : supply->second.plain;
            const auto wanted = static_cast<uint32_t>(std::ceil(reclaimableFactor * need.needed));
            need.reclaimable = std::clamp(wanted, std::max(1U, bounds.min), bounds.max);
            // In an exhausted zone, plain endpoints may use the capacity of reclaimable ones that are not available.
            const uint32_t expectedReclaimable = input.exhausted.contains(zone) ? std::min(need.supplied, need.reclaimable) : need.reclaimable;
            need.maxPlain = bounds.max - expectedReclaimable;
            needs.push_back(need);
        }
        return needs;
    }

    /// @return reclaimable endpoints that remain after losing the zone that has most of them.
    double reclaimableAfterLoss(const std::vector<zone_need>& needs)
    {
        uint32_t total = 0;
        uint32_t most = 0;
        for (const zone_need& need : needs) {
            total += need.supplied;
            most = std::max(most, need.supplied);
        }
        return total - most;
    }

    zone_need* findLargestShortfall(std::vector<zone_need>& needs)
    {
        // Prefers the cheaper zone when shortfalls are about equal.
        constexpr double priceWeight = 0.01;
        zone_need* chosen = nullptr;
        double largestShortfall = 0;
        for (zone_need& need : needs) {
            if (need.plain >= need.maxPlain)
                continue;
            const double shortfall = need.needed - need.plain - need.supplied - priceWeight * need.price;
            if (chosen && shortfall <= largestShortfall)
                continue;
            chosen = &need;
            largestShortfall = shortfall;
        }
        return chosen;
    }

    /// Adds each missing endpoint to the zone with the largest shortfall.
    /// @return the number that found no room.
    double addPlain(std::vector<zone_need>& needs, double missing)
    {
        for (; missing > 0; --missing) {
            zone_need* chosen = findLargestShortfall(needs);
            if (!chosen)
                break;
            ++chosen->plain;
        }
        return missing;
    }

    /// Keeps plain endpoints that are present in the room of reclaimable ones that are not: these may have been ordered, but
    /// until they are ready the plain ones carry the load. Then they are replaced step by step.
    void keepPlain(std::vector<zone_need>& needs, uint32_t maxPerZone, double missing)
    {
        for (zone_need& need : needs) {
            const uint32_t room = maxPerZone - std::min(maxPerZone, need.supplied);
            need.maxPlain = std::max(need.maxPlain, std::min(need.presentPlain, room));
        }
        addPlain(needs, missing);
    }

    uint32_t totalOf(const supply_map& supply)
    {
        uint32_t total = 0;
        for (const auto& [zone, count] : supply)
            total += count.plain + count.reclaimable;
        return total;
    }

    /// Counts the endpoints of a service while no demand is known.
    /// @return whether all initial endpoints have registered.
    bool updateInitialSupply(initial_supply& initial, uint32_t count, milliseconds registrationTime, Common::instant now)
    {
        // Endpoints that appear later were ordered.
        if (initial.isComplete)
            return true;
        if (count > initial.count) {
            initial.count = count;
            initial.lastIncreaseAt = now;
        }
        initial.isComplete = initial.count > 0 && now - initial.lastIncreaseAt >= registrationTime;
        return initial.isComplete;
    }

    /// Applies a plan without the delay for decreases. While there is no demand, no endpoint is in use.
    void applyWithoutDelay(plan_state& planState, const wanted_map& planned)
    {
        for (const auto& [target, count] : planned) {
            planState.wanted[target] = count;
            planState.lowerSince.erase(target);
        }
    }

    /// A new lease holder has no previous plan: it starts from the existing endpoints, as they may be in use.
    void initializeFromSupply(plan_state& planState, const Common::service_name& service, const wanted_map& planned, const supply_map& supply)
    {
        for (const auto& [target, count] : planned) {
            const auto present = supply.find(target.zone);
            if (target.service != service || present == supply.end())
                continue;
            planState.wanted.try_emplace(target, target.isReclaimable ? present->second.reclaimable : present->second.plain);
        }
    }

    uint32_t maxEndpoints(const Catalog::catalog& catalog, const Common::service_name& service)
    {
        const auto found = catalog.services.find(service);
        const bool hasBounds = found != catalog.services.end() && found->second.scaling;
        return hasBounds ? found->second.scaling->max : std::numeric_limits<uint32_t>::max();
    }

    bool releasesEndpoints(const order_target& target, uint32_t wanted, const zone_supply& present, uint32_t max)
    {
        const uint32_t sameKind = target.isReclaimable ? present.reclaimable : present.plain;
        const uint32_t otherKind = target.isReclaimable ? present.plain : present.reclaimable;
        const bool exceedsMax = otherKind > max || wanted > max - otherKind;
        return wanted < sameKind || exceedsMax;
    }

} // namespace

supply_map countSupply(const Fleet::endpoint_map& endpoints, const Common::service_name& service)
{
    supply_map supply;
    for (const auto& [id, item] : endpoints) {
        if (item.service != service || item.phase != Fleet::endpoint_phase::Ready)
            continue;
        zone_supply& zone = supply[item.zone];
        ++(item.isReclaimable ? zone.reclaimable : zone.plain);
    }
    return supply;
}

wanted_map planEndpoints(const Catalog::service& service, const plan_input& input)
{
    wanted_map wanted;
    if (!service.scaling)
        return wanted;
    std::vector<zone_need> needs = needsByZone(service, input);
    const double withoutRoom = addPlain(needs, std::ceil(totalOf(needs) - reclaimableAfterLoss(needs)));
    keepPlain(needs, service.scaling->max, withoutRoom);
    for (const zone_need& need : needs) {
        wanted[{ service.name, need.zone, false }] = need.plain;
        wanted[{ service.name, need.zone, true }] = std::min(need.reclaimable, service.scaling->max - need.plain);
    }
    return wanted;
}

wanted_map planServices(const Catalog::catalog& catalog, const Fleet::endpoint_map& endpoints, const demand_tracker& demand, const order_tracker& orders, plan_state& planState, milliseconds registrationTime, Common::instant now)
{
    wanted_map wanted;
    for (const auto& [name, service] : catalog.services) {
        if (!service.scaling)
            continue;
        plan_input input;
        input.demand = demandByZone(demand, name, now);
        input.supply = countSupply(endpoints, name);
        input.exhausted = exhaustedZones(orders, name, now);
        input.evacuated = planState.evacuated;
        initial_supply& initial = planState.initial[name];
        if (input.demand.empty() && !updateInitialSupply(initial, totalOf(input.supply), registrationTime, now))
            continue;
        input.initialCount = initial.count;
        const wanted_map planned = planEndpoints(service, input);
        if (input.demand.empty())
            applyWithoutDelay(planState, planned);
        else
            initializeFromSupply(planState, name, planned, input.supply);
        wanted.insert(planned.begin(), planned.end());
    }
    return delayDecreases(planState, wanted, now);
}

wanted_map withoutReleases(wanted_map wanted, const Catalog::catalog& catalog, const Fleet::endpoint_map& endpoints, const std::set<Common::service_name>& changingVersion)
{
    for (const Common::service_name& service : changingVersion) {
        const supply_map supply = countSupply(endpoints, service);
        const uint32_t max = maxEndpoints(catalog, service);
        std::erase_if(wanted, [&](const auto& entry) {
            const auto present = supply.find(entry.first.zone);
            if (entry.first.service != service || present == supply.end())
                return false;
            return releasesEndpoints(entry.first, entry.second, present->second, max);
        });
    }
    return wanted;
}

wanted_map delayDecreases(plan_state& planState, const wanted_map& planned, Common::instant now)
{
    for (const auto& [target, count] : planned) {
        const auto previous = planState.wanted.find(target);
        if (previous == planState.wanted.end() || count >= previous->second) {
            planState.wanted[target] = count;
            planState.lowerSince.erase(target);
            continue;
        }
        const Common::instant since = planState.lowerSince.try_emplace(target, now).first->second;
        if (now - since < decreaseDelay)
            continue;
        previous->second = count;
        planState.lowerSince.erase(target);
    }
    return planState.wanted;
}

std::optional<order> nextOrder(order_tracker& state, const wanted_map& wanted, Common::instant now)
{
    if (state.current)
        return {};
    for (const auto& [target, desired] : wanted) {
        placed_order& placed = state.orders[target];
        if (placed.desired == desired && now < placed.nextTry)
            continue;
        placed.desired = desired;
        placed.nextTry = now + retryDelay;
        state.current = order { target.service, target.zone, target.isReclaimable, desired };
        return state.current;
    }
    return {};
}

void applyOutcome(order_tracker& state, order_outcome outcome, Common::instant now)
{
    if (!state.current)
        return;
    placed_order& placed = state.orders[{ state.current->service, state.current->zone, state.current->isReclaimable }];
    placed.isConfirmed = outcome == order_outcome::Done;
    placed.nextTry = now + (placed.isConfirmed ? repeatInterval : retryDelay);
    placed.exhaustedUntil = {};
    if (outcome == order_outcome::NoneAvailable) {
        placed.nextTry = now + exhaustedRetryDelay;
        placed.exhaustedUntil = now + exhaustedDuration;
    }
    state.current.reset();
}

std::set<Common::zone_name> exhaustedZones(const order_tracker& state, const Common::service_name& service, Common::instant now)
{
    std::set<Common::zone_name> zones;
    for (const auto& [target, placed] : state.orders) {
        if (target.service == service && target.isReclaimable && now < placed.exhaustedUntil)
            zones.insert(target.zone);
    }
    return zones;
}

void recordEndpointLoss(order_tracker& state, const order_target& target, Common::instant now)
{
    const auto known = state.orders.find(target);
    if (known != state.orders.end())
        known->second.nextTry = std::min(known->second.nextTry, now);
}

void restartPlan(plan_state& planState, const Common::service_name& service)
{
    const auto isOfService = [&service](const auto& entry) { return entry.first.service == service; };
    std::erase_if(planState.wanted, isOfService);
    std::erase_if(planState.lowerSince, isOfService);
}

void resetForNewTenure(plan_state& planState, order_tracker& orders)
{
    planState.wanted.clear();
    planState.lowerSince.clear();
    orders.orders.clear();
    orders.current.reset();
}

} // namespace Scaling
