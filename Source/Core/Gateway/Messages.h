#pragma once

/// @file
/// Messages from other duties to the gateway, and its reports to them.

#include "Catalog/Catalog.h"
#include "Common/DutyInbox.h"
#include "Common/Ids.h"
#include "EndpointLimits/SharedLimits.h"
#include "Fleet/EndpointRegistry.h"
#include "Quarantine/RequestQuarantine.h"
#include "Quota/Quota.h"
#include "Scaling/Demand.h"
#include "Scheduling/Scheduler.h"
#include "Usage/Usage.h"

#include <set>
#include <variant>
#include <vector>

namespace Gateway {

/// A newer catalog is in force.
struct catalog_update {
    Catalog::catalog_pointer catalog;
};

/// The complete set of known endpoints.
struct endpoints_update {
    Fleet::endpoint_map endpoints;
};

/// The other nodes that may be serving requests.
struct peers_update {
    std::set<Common::node_id> peers;
    /// The list has the row of this node's earlier process: that one was killed, and all nodes' rows stayed.
    bool isWholeFleet { false };
    std::set<Common::node_id> leaving {}; ///< Those that leave; may contain this node.
};

/// How many nodes the fleet had lately, those that are being restarted included.
struct fleet_size_update {
    size_t nodes { 0 };
};

/// Another node's report of what it has granted to client accounts.
struct grants_received {
    Quota::node_report report;
};

/// Shares of a service's requests that go to versions, in thousandths. The remaining requests go to versions that aren't named; a
/// version with the share zero is held back.
struct version_share_update {
    Common::service_name service;
    std::map<Common::version_name, uint32_t> thousandths;
};

/// Another node's statement about a fingerprint.
struct quarantine_statement_received {
    Common::node_id from;
    Quarantine::quarantine_statement statement;
};

/// What the store knew about quarantined fingerprints when this node started.
struct quarantines_read {
    std::vector<Quarantine::stored_quarantine> items;
};

/// What another node says about the limit of an endpoint.
struct endpoint_limit_received {
    Common::node_id from;
    EndpointLimits::limit_message message;
};

/// What another node says about the lease of an account.
struct lease_received {
    Common::node_id from;
    Quota::lease_message message;
};

/// Another node that may relay requests.
struct relay_peer {
    Common::node_id node;
    std::string address; ///< Where callers connect: IP number and port.
    Common::zone_name zone;

    friend bool operator==(const relay_peer&, const relay_peer&) = default;
};

/// The other nodes that are up and don't leave.
struct relay_peers_update {
    std::vector<relay_peer> peers;
};

/// All availability zones whose endpoints get no requests, by order of an operator.
struct evacuations_update {
    std::set<Common::zone_name> zones;
};

/// This node starts to leave the cluster and drains its requests.
struct leave_started { };

using gateway_message = std::variant<catalog_update, endpoints_update, peers_update, fleet_size_update, grants_received, version_share_update, quarantine_statement_received, quarantines_read, endpoint_limit_received, lease_received, relay_peers_update, evacuations_update, leave_started>;

/// Several services can have a rollout at a time.
inline bool hasSameSubject(const version_share_update& older, const version_share_update& newer)
{
    return older.service == newer.service;
}

/// That the list is whole is told once.
inline void replaceState(peers_update& older, peers_update newer)
{
    newer.isWholeFleet = newer.isWholeFleet || older.isWholeFleet;
    older = std::move(newer);
}

/// The messages that tell a state; all others are events. A node serves once it has a catalog, so that comes after what it
/// must know by then.
using gateway_inbox = Common::duty_inbox<gateway_message, quarantines_read, peers_update, relay_peers_update, fleet_size_update, endpoints_update, evacuations_update, version_share_update, catalog_update, leave_started>;

/// The start or end of an attempt, from which a rollout evaluates the version.
struct attempt_report {
    enum class event {
        Begun,
        FirstEvent, ///< The start of a successful response.
        OnTime, ///< A complete response within the latency target of the route.
        Failed,
        Late, ///< A complete response after the latency target.
        Abandoned, ///< Not run, or the caller disconnected: says nothing about the version.
    };

    Common::service_name service;
    Common::version_name version;
    Common::route_name route;
    event type { event::Begun };
    Scheduling::placement_id attempt {};
    double expectedMs { 0 }; ///< Expected time to the first event.
    double elapsedMs { 0 }; ///< Since the attempt began, without the time on the network.
};

/// Usage, demand and grants since the last report.
struct interval_report {
    std::vector<Usage::begun_request> begun;
    Scaling::node_demand demand;
    Quota::node_report grants;
    size_t inFlight { 0 };
};

} // namespace Gateway
