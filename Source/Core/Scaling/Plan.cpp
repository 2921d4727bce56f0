#include "Scaling/Plan.h"

#include <algorithm>
#include <cmath>

namespace Scaling {

namespace {

    /// Part of an engine's time that work may fill; the rest keeps waiting times short.
    constexpr double usablePart = 0.75;
    /// Reclaimable endpoints that are ordered for each one needed, so that one zone may go.
    constexpr double reclaimableFactor = 1.5;
    /// While no demand is known, the endpoints present are taken to be this busy.
    constexpr double assumedBusyPart = 0.4;
    constexpr milliseconds retryPause { 500 };
    /// A confirmed number is ordered again after this time, should it have been lost.
    constexpr milliseconds renewPause { 20000 };
    /// Less is ordered only when less would have done for so long.
    constexpr milliseconds fallDelay { 6000 };

    /// None was to be had: it is asked for again after this time.
    constexpr milliseconds exhaustedPause { 2000 };
    constexpr milliseconds exhaustedMemory { 3000 };

    struct zone_need {
        Common::zone_name zone;
        double needed { 0 }; ///< Endpoints.
        double price { 1 };
        uint32_t supplied { 0 }; ///< Reclaimable endpoints that take work now.
        uint32_t reclaimable { 0 }; ///< Wanted.
        uint32_t plain { 0 }; ///< Wanted.
        uint32_t plainRoom { 0 };
    };

    double totalOf(const std::vector<zone_need>& zones)
    {
        double total = 0;
        for (const zone_need& item : zones)
            total += item.needed;
        return total;
    }

    double busyOf(const plan_input& input, const Common::zone_name& zone, size_t zones)
    {
        if (input.demand.empty())
            return assumedBusyPart * input.startingCount / static_cast<double>(std::max<size_t>(1, zones));
        const auto known = input.demand.find(zone);
        return known == input.demand.end() ? 0 : known->second.value;
    }

    std::vector<zone_need> needByZone(const Catalog::service& item, const plan_input& input)
    {
        const Catalog::scaling_bounds& bounds = *item.scaling;
        std::vector<zone_need> needs;
        for (const auto& [zone, price] : bounds.zonePrices) {
            zone_need need;
            need.zone = zone;
            need.price = price;
            need.needed = busyOf(input, zone, bounds.zonePrices.size()) / usablePart;
            const auto supply = input.supply.find(zone);
            need.supplied = supply == input.supply.end() ? 0 : supply->second.reclaimable;
            const auto wanted = static_cast<uint32_t>(std::ceil(reclaimableFactor * need.needed));
            need.reclaimable = std::clamp(wanted, std::max(1U, bounds.least), bounds.most);
            // What can't be had leaves its room to plain endpoints.
            const uint32_t held = input.exhausted.contains(zone) ? std::min(need.supplied, need.reclaimable) : need.reclaimable;
            need.plainRoom = bounds.most - held;
            needs.push_back(need);
        }
        return needs;
    }

    /// What is left of the supply that can be reclaimed once the zone with most of it goes.
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

    zone_need* findMostLacking(std::vector<zone_need>& needs)
    {
        constexpr double cheaperZoneBonus = 0.01;
        zone_need* chosen = nullptr;
        double mostLack = 0;
        for (zone_need& need : needs) {
            if (need.plain >= need.plainRoom)
                continue;
            const double lack = need.needed - need.plain - need.supplied - cheaperZoneBonus * need.price;
            if (chosen && lack <= mostLack)
                continue;
            chosen = &need;
            mostLack = lack;
        }
        return chosen;
    }

    /// Gives each missing endpoint to the zone that lacks most.
    void addPlain(std::vector<zone_need>& needs, double missing)
    {
        for (double added = 0; added < missing; ++added) {
            zone_need* chosen = findMostLacking(needs);
            if (!chosen)
                return;
            ++chosen->plain;
        }
    }

    uint32_t totalOf(const supply_map& supply)
    {
        uint32_t total = 0;
        for (const auto& [zone, count] : supply)
            total += count.plain + count.reclaimable;
        return total;
    }

    /// Follows the endpoints of a service while no demand is known.
    /// @return whether all that will stand at the start have appeared.
    bool hasRegistered(starting_supply& starting, uint32_t count, milliseconds registrationTime, Common::instant now)
    {
        // What appears later was ordered.
        if (starting.isComplete)
            return true;
        if (count > starting.count) {
            starting.count = count;
            starting.grownAt = now;
        }
        starting.isComplete = starting.count > 0 && now - starting.grownAt >= registrationTime;
        return starting.isComplete;
    }

    /// Before there is any demand, nothing is in use that a smaller number would take away.
    void followAtOnce(plan_memory& memory, const wanted_map& planned)
    {
        for (const auto& [item, count] : planned) {
            memory.wanted[item] = count;
            memory.lowerSince.erase(item);
        }
    }

    /// What is in use is the first plan of a holder that has none yet.
    void startFromSupply(plan_memory& memory, const Common::service_name& service, const wanted_map& planned, const supply_map& supply)
    {
        for (const auto& [item, count] : planned) {
            const auto present = supply.find(item.zone);
            if (item.service != service || present == supply.end())
                continue;
            memory.wanted.try_emplace(item, item.isReclaimable ? present->second.reclaimable : present->second.plain);
        }
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

wanted_map planEndpoints(const Catalog::service& item, const plan_input& input)
{
    wanted_map wanted;
    if (!item.scaling)
        return wanted;
    std::vector<zone_need> needs = needByZone(item, input);
    addPlain(needs, std::ceil(totalOf(needs) - reclaimableAfterLoss(needs)));
    for (const zone_need& need : needs) {
        wanted[{ item.name, need.zone, false }] = need.plain;
        wanted[{ item.name, need.zone, true }] = std::min(need.reclaimable, item.scaling->most - need.plain);
    }
    return wanted;
}

wanted_map planServices(const Catalog::catalog& catalog, const Fleet::endpoint_map& endpoints, const demand_book& demand, const order_book& orders, plan_memory& memory, milliseconds registrationTime, Common::instant now)
{
    wanted_map wanted;
    for (const auto& [name, service] : catalog.services) {
        if (!service.scaling)
            continue;
        plan_input input;
        input.demand = demandByZone(demand, name, now);
        input.supply = countSupply(endpoints, name);
        input.exhausted = exhaustedZones(orders, name, now);
        starting_supply& starting = memory.starting[name];
        if (input.demand.empty() && !hasRegistered(starting, totalOf(input.supply), registrationTime, now))
            continue;
        input.startingCount = starting.count;
        const wanted_map planned = planEndpoints(service, input);
        if (input.demand.empty())
            followAtOnce(memory, planned);
        else
            startFromSupply(memory, name, planned, input.supply);
        wanted.insert(planned.begin(), planned.end());
    }
    return steady(memory, wanted, now);
}

wanted_map steady(plan_memory& memory, const wanted_map& planned, Common::instant now)
{
    for (const auto& [item, count] : planned) {
        const auto known = memory.wanted.find(item);
        if (known == memory.wanted.end() || count >= known->second) {
            memory.wanted[item] = count;
            memory.lowerSince.erase(item);
            continue;
        }
        const Common::instant since = memory.lowerSince.try_emplace(item, now).first->second;
        if (now - since < fallDelay)
            continue;
        known->second = count;
        memory.lowerSince.erase(item);
    }
    return memory.wanted;
}

std::optional<order> nextOrder(order_book& state, const wanted_map& wanted, Common::instant now)
{
    if (state.current)
        return {};
    for (const auto& [item, desired] : wanted) {
        placed_order& known = state.orders[item];
        if (known.desired == desired && now < known.nextTry)
            continue;
        known.desired = desired;
        known.nextTry = now + retryPause;
        state.current = order { item.service, item.zone, item.isReclaimable, desired };
        return state.current;
    }
    return {};
}

void takeOutcome(order_book& state, order_outcome outcome, Common::instant now)
{
    if (!state.current)
        return;
    placed_order& known = state.orders[{ state.current->service, state.current->zone, state.current->isReclaimable }];
    known.isDone = outcome == order_outcome::Done;
    known.nextTry = now + (known.isDone ? renewPause : retryPause);
    known.exhaustedUntil = {};
    if (outcome == order_outcome::NoneAvailable) {
        known.nextTry = now + exhaustedPause;
        known.exhaustedUntil = now + exhaustedMemory;
    }
    state.current.reset();
}

std::set<Common::zone_name> exhaustedZones(const order_book& state, const Common::service_name& service, Common::instant now)
{
    std::set<Common::zone_name> zones;
    for (const auto& [item, known] : state.orders) {
        if (item.service == service && item.isReclaimable && now < known.exhaustedUntil)
            zones.insert(item.zone);
    }
    return zones;
}

void noteLoss(order_book& state, const subject& item, Common::instant now)
{
    const auto known = state.orders.find(item);
    if (known != state.orders.end())
        known->second.nextTry = std::min(known->second.nextTry, now);
}

void forgetOrders(order_book& state)
{
    state.orders.clear();
    state.current.reset();
}

} // namespace Scaling
