#include "Scaling/Plan.h"

#include <algorithm>
#include <cmath>

namespace Scaling {

namespace {

    /// Part of an engine's time that work may fill; the rest keeps waiting times short.
    constexpr double usablePart = 0.6;
    /// Reclaimable endpoints that are ordered for each one needed, so that one zone may go.
    constexpr double reclaimableFactor = 1.5;
    /// While no demand is known, the endpoints present are taken to be this busy.
    constexpr double assumedBusyPart = 0.4;
    constexpr milliseconds retryPause { 500 };
    /// A confirmed number is ordered again after this time, should it have been lost.
    constexpr milliseconds renewPause { 20000 };
    /// Less is ordered only when less would have done for so long.
    constexpr milliseconds fallDelay { 6000 };

    struct zone_need {
        Common::zone_name zone;
        double needed { 0 }; ///< Endpoints.
        double price { 1 };
    };

    double totalOf(const std::vector<zone_need>& zones)
    {
        double total = 0;
        for (const zone_need& item : zones)
            total += item.needed;
        return total;
    }

    std::vector<zone_need> needByZone(const Catalog::service& item, const std::map<Common::zone_name, busy_engines>& demand, const supply_map& supply)
    {
        std::vector<zone_need> needs;
        uint32_t present = 0;
        for (const auto& [zone, count] : supply)
            present += count.plain + count.reclaimable;
        const double assumed = assumedBusyPart * present / static_cast<double>(std::max<size_t>(1, item.scaling->zonePrices.size()));
        for (const auto& [zone, price] : item.scaling->zonePrices) {
            const auto known = demand.find(zone);
            const double busy = demand.empty() ? assumed : (known == demand.end() ? 0 : known->second.value);
            needs.push_back({ zone, busy / usablePart, price });
        }
        return needs;
    }

    /// What is left of the supply that can be reclaimed once the zone with most of it goes.
    double reclaimableAfterLoss(const supply_map& supply)
    {
        uint32_t total = 0;
        uint32_t most = 0;
        for (const auto& [zone, count] : supply) {
            total += count.reclaimable;
            most = std::max(most, count.reclaimable);
        }
        return total - most;
    }

    uint32_t reclaimableIn(const supply_map& supply, const Common::zone_name& zone)
    {
        const auto known = supply.find(zone);
        return known == supply.end() ? 0 : known->second.reclaimable;
    }

    /// Gives each missing endpoint to the zone that lacks most.
    void addPlain(wanted_map& wanted, const Catalog::service& item, const std::vector<zone_need>& needs, const supply_map& supply, uint32_t missing)
    {
        constexpr double cheaperZoneBonus = 0.01;
        for (; missing > 0; --missing) {
            const zone_need* chosen = nullptr;
            double mostLack = 0;
            for (const zone_need& need : needs) {
                const uint32_t plain = wanted[{ item.name, need.zone, false }];
                const uint32_t reclaimable = reclaimableIn(supply, need.zone);
                if (plain + wanted[{ item.name, need.zone, true }] >= item.scaling->most)
                    continue;
                const double lack = need.needed - plain - reclaimable - cheaperZoneBonus * need.price;
                if (!chosen || lack > mostLack) {
                    chosen = &need;
                    mostLack = lack;
                }
            }
            if (!chosen)
                return;
            ++wanted[{ item.name, chosen->zone, false }];
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

wanted_map planEndpoints(const Catalog::service& item, const std::map<Common::zone_name, busy_engines>& demand, const supply_map& supply)
{
    wanted_map wanted;
    if (!item.scaling)
        return wanted;
    const std::vector<zone_need> needs = needByZone(item, demand, supply);
    for (const zone_need& need : needs) {
        const auto reclaimable = static_cast<uint32_t>(std::ceil(reclaimableFactor * need.needed));
        wanted[{ item.name, need.zone, true }] = std::clamp(reclaimable, std::max(1U, item.scaling->least), item.scaling->most);
        wanted[{ item.name, need.zone, false }] = 0;
    }
    const double missing = std::ceil(totalOf(needs) - reclaimableAfterLoss(supply));
    addPlain(wanted, item, needs, supply, static_cast<uint32_t>(std::max(0.0, missing)));
    return wanted;
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
    state.current.reset();
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
