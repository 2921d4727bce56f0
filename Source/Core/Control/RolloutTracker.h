#pragma once

/// @file
/// Passes operators' rollout orders to the evaluation of versions (Rollout/), and its results back as the status to
/// report. Pure: no clock, no socket.

#include "Control/PlatformCalls.h"
#include "Gateway/GatewayDuty.h"
#include "Rollout/Rollout.h"

#include <map>
#include <optional>
#include <set>

namespace Control {

/// State of one rollout at this node.
struct tracked_rollout {
    rollout_order order;
    Store::row_version orderVersion; ///< Of the order's row: a new order for the same version starts a new rollout.
    Common::instant seenAt; ///< Start of the order's time limit.
    std::optional<rollout_status> reported; ///< Status in the store.
    std::optional<rollout_status> proposed; ///< Result of this node's evaluation.
    bool isReporting { false }; ///< A write of the status is in progress.
    bool isOfEarlierEra { false }; ///< The order's row hasn't been seen in the current era of the store.
    bool mustReportAgain { false }; ///< The store may have lost the status.
    /// Versions that served the service before the order, or before the unfinished ones that it replaced.
    std::set<Common::version_name> established {};
    bool isReturn { false }; ///< The order leads back to an established version, which needs no proof.
};

/// An order as it was seen in the store.
struct seen_order {
    rollout_order order;
    Store::row_version version;
};

struct rollout_tracker {
    std::map<Common::service_name, tracked_rollout> rollouts;
    /// Orders that later ones have replaced. A restored store may show them again.
    std::map<Common::service_name, std::vector<seen_order>> replaced;
    /// Versions that were being tried, or were taken back, when an order to another one came. They get no requests that another
    /// version can take, until an order names them.
    std::map<Common::service_name, std::set<Common::version_name>> abandoned;
    std::map<Common::service_name, std::set<Common::version_name>> reverted; ///< Those of them that were taken back.
    Rollout::rollout_state evaluation;
};

/// @param exposureShare maximum share of a service's requests that a bad version may receive, 0 to 1.
/// @param exposureSlack attempts that it may receive in addition.
/// @return a tracker without rollouts, whose stages stay below the share until a version takes over.
rollout_tracker makeRolloutTracker(double exposureShare, double exposureSlack);

/// Actions that the caller has to perform.
using rollout_actions = std::vector<Rollout::rollout_action>;

/// Begins a new era of the store: orders that are written again go on as they are, and statuses are reported again.
void beginEra(rollout_tracker& tracker);

/// Applies the current orders, and starts those that are new.
/// @param operatorRows rows that the orders were read from.
rollout_actions applyOrders(rollout_tracker& tracker, const std::vector<rollout_order>& orders, const std::map<std::string, Store::row>& operatorRows, Common::instant now);
/// Applies the status of a rollout that the store has. A rollout that has ended stays so.
rollout_actions applyReportedStatus(rollout_tracker& tracker, const Common::service_name& service, rollout_status status, Common::instant now);
/// Passes a message to the evaluation.
rollout_actions evaluate(rollout_tracker& tracker, Rollout::rollout_message&& message, Common::instant now);
/// Stores the result of the evaluation, to be reported.
/// @return whether it differs from the one before.
bool recordProposal(rollout_tracker& tracker, const Rollout::propose_end& end);

/// @param endpoints all endpoints that this node knows.
/// @param evacuated availability zones whose endpoints get no requests.
/// @return the versions with an endpoint that takes requests, for the evaluation.
Rollout::ready_versions_changed listReadyVersions(const Fleet::endpoint_map& endpoints, const std::set<Common::zone_name>& evacuated);

/// @param tracker the rollouts.
/// @return the next rollout whose `proposed` status the lease holder has to write to the store, if any. It counts as
/// being reported until `isReporting` is reset.
std::optional<tracked_rollout> nextReport(rollout_tracker& tracker);

/// Ends a report of nextReport().
/// @param report as returned by nextReport().
/// @param isWritten whether the store has the status now.
rollout_actions recordReported(rollout_tracker& tracker, const tracked_rollout& report, bool isWritten, Common::instant now);

/// @param attempt an event of an attempt, reported by the gateway.
/// @return the same event in the form that the evaluation takes.
Rollout::attempt_observed toObservedAttempt(const Gateway::attempt_report& attempt);

/// @return services with a rollout in progress.
std::set<Common::service_name> activeServices(const rollout_tracker& tracker);

/// @return whether any rollout is in progress.
bool isActive(const rollout_tracker& tracker);

} // namespace Control
