#pragma once

/// @file
/// Demand for endpoint time by service and availability zone. Pure: no clock, no socket.

#include "Common/Ids.h"

#include <map>
#include <vector>

namespace Scaling {

using std::chrono::milliseconds;

/// Demand as a number of engines: 1 keeps one engine busy all of the time.
using busy_engines = Common::strong_type<struct busy_engines_tag, double>;

/// Demand that one node reports for one interval.
struct node_demand {
    Common::node_id node;
    Common::zone_name zone;
    std::map<Common::service_name, double> engineMs; ///< Endpoint time for the requests of the interval.
    milliseconds interval { 250 };
};

/// Smoothed demand for one service at one node.
struct smoothed_demand {
    double level { 0 }; ///< Exponential moving average, in busy engines.
    Common::instant receivedAt;
    milliseconds interval { 0 }; ///< Of the node's reports.
    Common::zone_name zone;
};

struct demand_tracker {
    std::map<Common::service_name, std::map<Common::node_id, smoothed_demand>> services;
};

/// Adds a node's report to its averages. Services missing from the report count as zero demand.
void recordDemand(demand_tracker& tracker, const node_demand& report, Common::instant now);

/// @param tracker reports of all nodes.
/// @param service the service to sum up.
/// @param now current time.
/// @return the demand by zone. A node that stops reporting is counted for a short time, until its callers have moved to
/// other nodes.
std::map<Common::zone_name, busy_engines> demandByZone(const demand_tracker& tracker, const Common::service_name& service, Common::instant now);

} // namespace Scaling
