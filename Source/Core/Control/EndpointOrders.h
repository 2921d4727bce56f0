#pragma once

/// @file
/// Plans and orders endpoints while this node holds the lease.

#include "Control/ControlContext.h"
#include "Scaling/Plan.h"

namespace Control {

struct endpoint_orders {
    control_context& context;
    Scaling::demand_tracker demand {};
    Scaling::plan_state planState {};
    Scaling::order_tracker orders {};
    Common::instant nextPlan {};
    std::map<Common::service_name, Common::instant> changingSince {}; ///< Services with a rollout in progress.
    std::map<Common::service_name, Common::instant> changedAt {}; ///< Services whose rollout has just ended.
};

/// Updates the plan when it is due and sends the next order. Only the lease holder may call this.
/// @param ordering the plan and the orders so far.
/// @param changingVersion services with a rollout in progress; their endpoints are not released.
/// @param now current time.
void orderEndpoints(endpoint_orders& ordering, const std::set<Common::service_name>& changingVersion, Common::instant now);

} // namespace Control
