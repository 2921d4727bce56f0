#pragma once

/// @file
/// How many endpoints of a service are ordered, where and of which kind. Reclaimable endpoints are cheap, but all of a
/// zone may go at once, at times with none to be had elsewhere: what is left then must still carry the demand, with
/// endpoints that are not reclaimable making up for what is missing. Pure: no clock, no socket.

#include "Catalog/Catalog.h"
#include "Fleet/EndpointBook.h"
#include "Scaling/Demand.h"
#include "Scaling/Order.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Scaling {

/// One number of endpoints that is ordered by itself.
struct subject {
    Common::service_name service;
    Common::zone_name zone;
    bool isReclaimable { false };

    friend auto operator<=>(const subject&, const subject&) = default;
};

/// Endpoints of one zone that take work now.
struct zone_supply {
    uint32_t plain { 0 };
    uint32_t reclaimable { 0 };
};

struct order_book;

using supply_map = std::map<Common::zone_name, zone_supply>;
using wanted_map = std::map<subject, uint32_t>;

/// Counts the endpoints of a service that take work.
supply_map countSupply(const Fleet::endpoint_map& endpoints, const Common::service_name& service);

/// The endpoints of a service that stood before any demand was known.
struct starting_supply {
    uint32_t count { 0 }; ///< The most at one moment.
    Common::instant grownAt; ///< When the last of them appeared.
    bool isComplete { false };
};

/// Remembers what makes the plan steady.
struct plan_memory {
    std::map<Common::service_name, starting_supply> starting;
    std::map<subject, uint32_t> wanted; ///< As planned last.
    std::map<subject, Common::instant> lowerSince; ///< Since when less would do.
};

/// What a plan is made from.
struct plan_input {
    std::map<Common::zone_name, busy_engines> demand; ///< Empty while nothing is known.
    supply_map supply; ///< What takes work now.
    std::set<Common::zone_name> exhausted {}; ///< Zones where no reclaimable endpoint was to be had lately.
    uint32_t startingCount { 0 }; ///< Endpoints that stood before any demand was known.
};

/// @param item a service that is scaled.
/// @param input demand and supply.
/// @return the wanted number of each kind in each zone.
wanted_map planEndpoints(const Catalog::service& item, const plan_input& input);

/// Plans all services that are scaled. A service of which neither endpoints nor demand are known is left out.
/// @param catalog in force.
/// @param endpoints all that are known.
/// @param demand as the nodes have told it.
/// @param orders given so far.
/// @param memory changed in place.
/// @param registrationTime when no endpoint has appeared for so long at the start, all have: the interval at which they
/// write their entries, and the one at which this node reads them.
/// @param now the present time.
/// @return the numbers to order.
wanted_map planServices(const Catalog::catalog& catalog, const Fleet::endpoint_map& endpoints, const demand_book& demand, const order_book& orders, plan_memory& memory, milliseconds registrationTime, Common::instant now);

/// Lets numbers rise at once and fall only after a while.
/// @param memory changed in place.
/// @return the numbers to order.
wanted_map steady(plan_memory& memory, const wanted_map& planned, Common::instant now);

/// What was last ordered for a subject.
struct placed_order {
    uint32_t desired { 0 };
    bool isDone { false }; ///< The cloud has confirmed it.
    Common::instant nextTry;
    Common::instant exhaustedUntil; ///< None was to be had; until then it is taken to be so.
};

struct order_book {
    std::map<subject, placed_order> orders;
    std::optional<order> current; ///< Under way.
};

/// @param state what was ordered; an order that is returned counts as under way.
/// @param wanted the wanted numbers.
/// @param now the present time.
/// @return the next order to give.
std::optional<order> nextOrder(order_book& state, const wanted_map& wanted, Common::instant now);

/// Takes the end of the order under way.
void takeOutcome(order_book& state, order_outcome outcome, Common::instant now);

/// @return zones where no reclaimable endpoint of the service was to be had lately.
std::set<Common::zone_name> exhaustedZones(const order_book& state, const Common::service_name& service, Common::instant now);

/// An endpoint of a subject went although it was ordered: the order is given again.
void noteLoss(order_book& state, const subject& item, Common::instant now);

/// Another node may have given orders: nothing is known of them.
void forgetOrders(order_book& state);

} // namespace Scaling
