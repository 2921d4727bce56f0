#pragma once

/// @file
/// How much of an endpoint's time callers ask for, by service and availability zone. Pure: no clock, no socket.

#include "Common/Ids.h"

#include <map>
#include <vector>

namespace Scaling {

using std::chrono::milliseconds;

/// Engines kept busy: one means one engine all of the time.
using busy_engines = Common::strong_type<struct busy_engines_tag, double>;

/// What one node was asked for in one interval.
struct node_demand {
    Common::node_id node;
    Common::zone_name zone;
    std::map<Common::service_name, double> engineMs; ///< Endpoint time that the work of the interval takes.
    milliseconds interval { 250 };
};

/// Demand of one service at one node, smoothed.
struct smoothed_demand {
    double level { 0 }; ///< Average over the last seconds.
    Common::instant heardAt;
    Common::zone_name zone;
};

struct demand_book {
    std::map<Common::service_name, std::map<Common::node_id, smoothed_demand>> services;
};

/// Takes the demand of a node in.
void noteDemand(demand_book& book, const node_demand& heard, Common::instant now);

/// @param book what was heard.
/// @param service a service.
/// @param now the present time.
/// @return the demand by zone; a node that fell silent counts for a while, as its callers go to others.
std::map<Common::zone_name, busy_engines> demandByZone(const demand_book& book, const Common::service_name& service, Common::instant now);

} // namespace Scaling
