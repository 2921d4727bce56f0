#pragma once

/// @file
/// The state that the gateway's decisions are based on. Reads no clock and no socket.

#include "EndpointLimits/SharedLimits.h"
#include "Fleet/NodeFacts.h"
#include "Gateway/FinishTimes.h"
#include "Gateway/Leaving.h"
#include "Gateway/Messages.h"
#include "Limits/ServiceRetryBudget.h"
#include "Quarantine/RequestQuarantine.h"
#include "Scheduling/Scheduler.h"

#include <map>
#include <optional>

namespace Gateway {

using std::chrono::milliseconds;

struct gateway_state {
    milliseconds grace { 8000 }; ///< From the start of leaving to the end of the process.
    Catalog::catalog_pointer catalog; ///< Null until the first catalog is received.
    Scheduling::scheduler_state scheduler;
    EndpointLimits::shared_limits endpointLimits;
    Quota::quota_state quota;
    Limits::service_retry_budgets serviceRetries;
    Quarantine::quarantine_state quarantine;
    Quarantine::crash_evidence crashEvidence;
    std::map<Common::service_name, version_share_update> versionShares;
    milliseconds addressLife { 1000 }; ///< How long callers may use an answer of the directory.
    std::set<Common::zone_name> evacuatedZones; ///< Their endpoints get no requests.
    double coldOvershoot { 0 }; ///< See Fleet::service_bounds.
    double coldSlack { 0 };
    std::vector<relay_peer> relayPeers;
    std::map<Common::node_id, Common::instant> unusableRelays; ///< Until when each gets no relayed requests.
    finish_time_map finishTimes;
    interval_report interval; ///< Collected since the last report.
    std::optional<Common::instant> leavingSince;
    leaving_phase leavingPhase { leaving_phase::Accepting }; ///< Meaningful once leavingSince is set.
};

/// @param facts the platform's description of this node.
/// @param seed of the random numbers used in decisions.
/// @return the initial state, without a catalog and without endpoints.
gateway_state makeGatewayState(const Fleet::node_facts& facts, uint64_t seed);

/// @return the time between two reports. Every node reports to every other, so it grows with the number of nodes.
milliseconds currentReportInterval(const gateway_state& state);

/// Applies a message of another duty.
/// @param state changed in place.
/// @param message a catalog whose version is not newer than the current one is ignored.
/// @param now current time.
void applyMessage(gateway_state& state, const catalog_update& message, Common::instant now);
void applyMessage(gateway_state& state, const endpoints_update& message, Common::instant now);
void applyMessage(gateway_state& state, const peers_update& message, Common::instant now);
void applyMessage(gateway_state& state, const fleet_size_update& message, Common::instant now);
void applyMessage(gateway_state& state, const grants_received& message, Common::instant now);
void applyMessage(gateway_state& state, const version_share_update& message, Common::instant now);
void applyMessage(gateway_state& state, const quarantine_statement_received& message, Common::instant now);
void applyMessage(gateway_state& state, const quarantines_read& message, Common::instant now);
void applyMessage(gateway_state& state, const endpoint_limit_received& message, Common::instant now);
void applyMessage(gateway_state& state, const lease_received& message, Common::instant now);
void applyMessage(gateway_state& state, const relay_peers_update& message, Common::instant now);
void applyMessage(gateway_state& state, const evacuations_update& message, Common::instant now);
void applyMessage(gateway_state& state, const leave_started& message, Common::instant now);

/// Ends the current report interval and starts the next.
/// @param state its interval report is reset.
/// @param facts of this node.
/// @param incarnation of this node's process.
/// @param inFlight requests in progress.
/// @param now current time.
/// @return the report of the ended interval, for the other duties.
interval_report collectReport(gateway_state& state, const Fleet::node_facts& facts, Common::incarnation_number incarnation, size_t inFlight, Common::instant now);

} // namespace Gateway
