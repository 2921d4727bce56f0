#pragma once

/// @file
/// How many endpoints of a service are ordered, where and of which kind. Pure: no clock, no socket.

#include "Catalog/Catalog.h"
#include "Fleet/EndpointBook.h"
#include "Scaling/Order.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Scaling {

using std::chrono::milliseconds;

/// One number of endpoints that is ordered by itself.
struct subject {
    Common::service_name service;
    Common::zone_name zone;
    bool isReclaimable { false };

    friend auto operator<=>(const subject&, const subject&) = default;
};

/// What was last ordered for a subject.
struct placed_order {
    uint32_t desired { 0 };
    bool isKnown { false }; ///< The cloud has confirmed it.
    Common::instant nextTry;
};

struct plan_state {
    std::map<subject, placed_order> orders;
    std::optional<order> current; ///< Under way.
};

/// @param item a service that is scaled.
/// @return the wanted number of each kind in each zone.
std::map<subject, uint32_t> planEndpoints(const Catalog::service& item);

/// @param state what was ordered; an order that is returned counts as under way.
/// @param wanted the wanted numbers.
/// @param now the present time.
/// @return the next order to give.
std::optional<order> nextOrder(plan_state& state, const std::map<subject, uint32_t>& wanted, Common::instant now);

/// Takes the end of the order under way.
void takeOutcome(plan_state& state, order_outcome outcome, Common::instant now);

/// Another node may have given orders: nothing is known of them.
void forgetOrders(plan_state& state);

} // namespace Scaling
