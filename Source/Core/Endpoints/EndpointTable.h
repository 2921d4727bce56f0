#pragma once

/// @file
/// Decides which endpoints exist and which are leaving, from several sources, each of which may lag or fail: the
/// cloud's list, load reports, peers and refused connections. No clock, no socket.

#include "Endpoints/Model.h"
#include "Endpoints/Sharding.h"

#include <map>
#include <optional>
#include <set>
#include <variant>

namespace Endpoints {

/// The cloud's whole list.
struct cloud_list {
    std::vector<instance_info> instances;
};

/// A load report that this node polled itself.
struct polled_load {
    load_report report;
};

/// A peer, or this node's dispatch, reports that an endpoint is leaving or can't be reached.
struct leaving_notice {
    Common::endpoint_id id;
    leaving_source source { leaving_source::Peer };
};

/// Instances that a peer found new on the cloud's list; they may not be on this node's copy yet.
struct instances_received {
    std::vector<instance_info> instances;
};

/// A load report received from the node that polls the endpoint.
struct load_received {
    load_report report;
};

/// The nodes that share the polling changed.
struct pollers_changed {
    std::vector<poller> pollers; ///< All alive entry nodes, this one included.
};

using table_message = std::variant<cloud_list, polled_load, leaving_notice, instances_received, load_received, pollers_changed>;

/// The list of usable endpoints changed.
struct publish_endpoints {
    endpoint_list usable;
    double nodesPerEndpoint { 1 }; ///< Approximate number of entry nodes that send to the same endpoint.
};

struct publish_load {
    load_report report;
};

/// Tell the peers that an endpoint is leaving.
struct broadcast_leaving {
    Common::endpoint_id id;
};

/// Send new instances to the peers, so that they know them before their own next reading of the cloud's list.
struct broadcast_instances {
    std::vector<instance_info> instances;
};

/// Send the load to a node that routes to the endpoint.
struct send_load {
    Common::node_id node;
    load_report report;
};

/// The entry instances on the cloud's list, as seeds for the membership.
struct publish_entries {
    std::vector<instance_info> entries;
};

using table_action = std::variant<publish_endpoints, publish_load, broadcast_leaving, broadcast_instances, send_load, publish_entries>;

struct endpoint_entry {
    instance_info info;
    Common::instant unreachableUntil; ///< Not used until then, after a refused connection.
    Common::instant keepUntil; ///< Reported by a peer: kept until then although the lagging list lacks it.
};

struct endpoint_table {
    poller self;
    std::vector<poller> pollers;
    bool isListRead { false }; ///< The cloud's list has been read at least once.
    std::map<Common::endpoint_id, endpoint_entry> entries;
    /// Leaving endpoints, with the time of the first report. The mark is kept when the report precedes the endpoint's
    /// first appearance on the list, and when the list drops the endpoint and shows it again.
    std::map<Common::endpoint_id, Common::instant> leaving;
};

/// How long a refused connection keeps an endpoint out of use.
constexpr std::chrono::seconds unreachablePeriod { 2 };
/// How long an endpoint reported by a peer may be missing from the list.
constexpr std::chrono::seconds listLagAllowance { 60 };
/// How long the leaving mark of an endpoint that is no longer listed is kept.
constexpr std::chrono::hours leavingRetention { 2 };

/// Applies one message to the table.
/// @param table the endpoints; changed in place.
/// @param message the report to apply.
/// @param now current time.
/// @return the actions for other duties and peers.
std::vector<table_action> stepEndpoints(endpoint_table& table, table_message&& message, Common::instant now);

/// @param table the endpoints.
/// @return the endpoints whose load this node polls for itself and for others.
std::vector<instance_info> listPolledHere(const endpoint_table& table);

/// @param table the endpoints.
/// @return how many nodes of this node's region read the cloud's list in turn, this one included.
size_t countListReaders(const endpoint_table& table);

/// @param table the endpoints.
/// @return approximate number of entry nodes that send to the same endpoint, this one included.
double countSharingNodes(const endpoint_table& table);

/// @param table the endpoints.
/// @param now current time.
/// @return the endpoints of this node's subset that accept new work.
endpoint_list listUsable(const endpoint_table& table, Common::instant now);

} // namespace Endpoints
