#pragma once

/// @file
/// Plans how many endpoints of a service to order in each zone, and whether reclaimable or plain (not reclaimable)
/// ones. Reclaimable endpoints are cheap, but the cloud can take back all of a zone at once, possibly while other zones
/// have no capacity. The remaining endpoints must still cover the demand, so plain endpoints make up the difference.
/// Pure: no clock, no socket.

#include "Catalog/Catalog.h"
#include "Fleet/EndpointRegistry.h"
#include "Scaling/Demand.h"
#include "Scaling/Order.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Scaling {

/// Key of an order: each combination has its own desired number of endpoints.
struct order_target {
    Common::service_name service;
    Common::zone_name zone;
    bool isReclaimable { false };

    friend auto operator<=>(const order_target&, const order_target&) = default;
};

/// Number of ready endpoints in one zone.
struct zone_supply {
    uint32_t plain { 0 };
    uint32_t reclaimable { 0 };
};

struct order_tracker;

using supply_map = std::map<Common::zone_name, zone_supply>;
using wanted_map = std::map<order_target, uint32_t>;

/// Counts the ready endpoints of a service by zone.
supply_map countSupply(const Fleet::endpoint_map& endpoints, const Common::service_name& service);

/// Endpoints of a service that existed before any demand was known.
struct initial_supply {
    uint32_t count { 0 }; ///< Highest number seen at one time.
    Common::instant lastIncreaseAt; ///< When `count` last increased.
    bool isComplete { false }; ///< All of them have registered.
};

/// State kept between plans, so that counts don't fluctuate.
struct plan_state {
    std::map<Common::service_name, initial_supply> initial;
    std::map<order_target, uint32_t> wanted; ///< Result of the last plan.
    std::map<order_target, Common::instant> lowerSince; ///< When the planned count first fell below `wanted`.
    std::set<Common::zone_name> evacuated; ///< Zones whose endpoints get no requests; nothing is ordered there.
};

/// Input of the plan for one service.
struct plan_input {
    std::map<Common::zone_name, busy_engines> demand; ///< Empty while no demand is known.
    supply_map supply; ///< Ready endpoints.
    std::set<Common::zone_name> exhausted {}; ///< Zones that recently had no reclaimable endpoints available.
    uint32_t initialCount { 0 }; ///< See initial_supply::count.
    std::set<Common::zone_name> evacuated {}; ///< Their demand is served by the other zones.
};

/// @param service a service with scaling bounds; the plan is empty without them.
/// @param input demand and supply.
/// @return the wanted numbers of reclaimable and plain endpoints in each zone.
wanted_map planEndpoints(const Catalog::service& service, const plan_input& input);

/// Plans all services with scaling bounds. A service is skipped while its demand is unknown and not all of its initial
/// endpoints have registered.
/// @param catalog the current catalog.
/// @param endpoints all known endpoints.
/// @param demand demand reported by the nodes.
/// @param orders orders issued so far.
/// @param planState updated in place.
/// @param registrationTime the initial endpoints count as complete when none has appeared for this long: the interval
/// at which endpoints write their entries plus the one at which this node reads them.
/// @param now current time.
/// @return the numbers to order.
wanted_map planServices(const Catalog::catalog& catalog, const Fleet::endpoint_map& endpoints, const demand_tracker& demand, const order_tracker& orders, plan_state& planState, milliseconds registrationTime, Common::instant now);

/// Removes the orders that would release endpoints of services whose version is being changed. The numbers count endpoints
/// of both versions, and the cloud may release those of the new one, which needs them once it gets all requests. The cloud
/// also releases endpoints of one kind to stay within a zone's maximum when more of the other kind are ordered.
/// @param wanted the wanted numbers.
/// @param catalog the current catalog.
/// @param endpoints all known endpoints.
/// @param changingVersion services with a rollout in progress.
/// @return the numbers to order.
wanted_map withoutReleases(wanted_map wanted, const Catalog::catalog& catalog, const Fleet::endpoint_map& endpoints, const std::set<Common::service_name>& changingVersion);

/// Applies increases at once, and decreases only after the lower count has lasted for a while.
/// @param planState updated in place.
/// @param planned the new plan.
/// @param now current time.
/// @return the numbers to order.
wanted_map delayDecreases(plan_state& planState, const wanted_map& planned, Common::instant now);

/// The last order for an order_target.
struct placed_order {
    uint32_t desired { 0 };
    bool isConfirmed { false }; ///< The cloud has confirmed the order.
    Common::instant nextTry; ///< Earliest time to repeat the order.
    Common::instant exhaustedUntil; ///< The zone had no capacity; assumed to last until then.
};

struct order_tracker {
    std::map<order_target, placed_order> orders;
    std::optional<order> current; ///< Sent, not answered yet.
};

/// @param state the orders so far; a returned order becomes the current one.
/// @param wanted the wanted numbers.
/// @param now current time.
/// @return the next order to send; nothing while one is in progress or none is due.
std::optional<order> nextOrder(order_tracker& state, const wanted_map& wanted, Common::instant now);

/// Records the outcome of the current order.
void applyOutcome(order_tracker& state, order_outcome outcome, Common::instant now);

/// @return zones that recently had no reclaimable endpoints available for the service.
std::set<Common::zone_name> exhaustedZones(const order_tracker& state, const Common::service_name& service, Common::instant now);

/// Makes the order of a lost endpoint due at once, to replace the endpoint.
void recordEndpointLoss(order_tracker& state, const order_target& target, Common::instant now);

/// Drops the planned counts of a service, so that its next plan starts from the existing endpoints.
/// @param planState changed in place.
/// @param service its endpoints were replaced by others.
void restartPlan(plan_state& planState, const Common::service_name& service);

/// Drops the planned counts and the orders of an earlier tenure as lease holder: another node may have ordered since, so
/// the next plan starts from the existing endpoints. What is known of the initial endpoints stays valid.
/// @param planState its counts and pending decreases are dropped.
/// @param orders emptied.
void resetForNewTenure(plan_state& planState, order_tracker& orders);

} // namespace Scaling
