#pragma once

/// @file
/// Orders of endpoints by the holder of the lease.

#include "Control/ControlContext.h"
#include "Scaling/Plan.h"

namespace Control {

struct endpoint_orders {
    control_context& context;
    Scaling::demand_tracker demand {};
    Scaling::plan_state memory {};
    Scaling::order_tracker orders {};
    Common::instant nextPlan {};
};

/// Plans anew when it is time, and gives the next order; only the holder of the lease may.
void orderEndpoints(endpoint_orders& item, Common::instant now);

} // namespace Control
