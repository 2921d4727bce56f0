#include "Scaling/Plan.h"

#include <algorithm>

namespace Scaling {

namespace {

    constexpr milliseconds retryPause { 700 };
    /// A number that was ordered is ordered again after this time, should the cloud have lost it.
    constexpr milliseconds renewPause { 15000 };
    constexpr uint32_t plainPerZone = 1;
    constexpr uint32_t reclaimablePerZone = 1;

} // namespace

std::map<subject, uint32_t> planEndpoints(const Catalog::service& item)
{
    std::map<subject, uint32_t> wanted;
    if (!item.scaling)
        return wanted;
    for (const auto& [zone, price] : item.scaling->zonePrices) {
        const uint32_t plain = std::clamp(plainPerZone, item.scaling->least, item.scaling->most);
        const uint32_t reclaimable = std::min(reclaimablePerZone, item.scaling->most - plain);
        wanted[{ item.name, zone, false }] = plain;
        wanted[{ item.name, zone, true }] = reclaimable;
    }
    return wanted;
}

std::optional<order> nextOrder(plan_state& state, const std::map<subject, uint32_t>& wanted, Common::instant now)
{
    if (state.current)
        return {};
    for (const auto& [item, desired] : wanted) {
        placed_order& known = state.orders[item];
        if (now < known.nextTry && known.desired == desired)
            continue;
        known.desired = desired;
        state.current = order { item.service, item.zone, item.isReclaimable, desired };
        return state.current;
    }
    return {};
}

void takeOutcome(plan_state& state, order_outcome outcome, Common::instant now)
{
    if (!state.current)
        return;
    placed_order& known = state.orders[{ state.current->service, state.current->zone, state.current->isReclaimable }];
    known.isKnown = outcome == order_outcome::Done;
    known.nextTry = now + (known.isKnown ? renewPause : retryPause);
    state.current.reset();
}

void forgetOrders(plan_state& state)
{
    state.orders.clear();
    state.current.reset();
}

} // namespace Scaling
