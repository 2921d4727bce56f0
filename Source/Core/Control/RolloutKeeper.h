#pragma once

/// @file
/// From operators' orders of rollouts to the product's judgement of versions and back to the reported state. Pure: no
/// clock, no socket.

#include "Control/PlatformCalls.h"
#include "Gateway/GatewayDuty.h"
#include "Rollout/Rollout.h"

#include <map>
#include <optional>

namespace Control {

/// One rollout as this node knows it.
struct kept_rollout {
    rollout_order order;
    Store::row_version orderVersion; ///< A new order for the same version is a new rollout.
    Common::instant seenAt;
    std::optional<rollout_status> reported; ///< As the store tells it.
    std::optional<rollout_status> proposed; ///< As this node judges it.
    bool isReporting { false };
};

struct rollout_keeper {
    std::map<Common::service_name, kept_rollout> rollouts;
    Rollout::rollout_state judgement;
};

/// @return a keeper whose stages expose little until a version takes over.
/// @param exposureShare most of a service's requests that a bad version may get.
rollout_keeper makeRolloutKeeper(double exposureShare);

/// What the keeper wants done.
using keeper_actions = std::vector<Rollout::rollout_action>;

/// Takes the orders in force.
keeper_actions noteOrders(rollout_keeper& keeper, const std::vector<rollout_order>& orders, const std::map<std::string, Store::row>& operatorRows, Common::instant now);
/// Takes the state of a rollout that is reported in the store.
keeper_actions noteReported(rollout_keeper& keeper, const Common::service_name& service, rollout_status status, Common::instant now);
/// Passes a message on to the judgement.
keeper_actions judge(rollout_keeper& keeper, Rollout::rollout_message&& message, Common::instant now);
/// A judgement is an end to report.
void noteProposal(rollout_keeper& keeper, const Rollout::propose_end& end);

/// @param keeper the rollouts.
/// @return the next state that the lease's holder has to report, if any; it counts as under way.
std::optional<kept_rollout> nextReport(rollout_keeper& keeper);

/// @param item an attempt that the gateway saw.
/// @return the same for the judgement.
Rollout::attempt_observed toObserved(const Gateway::attempt_seen& item);

/// @return whether any rollout is under way.
bool isActive(const rollout_keeper& keeper);

} // namespace Control
