#pragma once

/// @file
/// Which endpoints exist and which are leaving, decided from several sources of which each may lag or be silent.
/// No clock, no socket.

#include "Endpoints/Model.h"
#include "Endpoints/Sharding.h"

#include <map>
#include <optional>
#include <set>
#include <variant>

namespace Endpoints {

struct cloud_list {
    std::vector<instance_info> instances;
};

struct own_load {
    load_report report;
};

/// A peer, or this node's dispatch, found out that an endpoint is leaving or can't be reached.
struct leaving_notice {
    Common::endpoint_id id;
    leaving_source source { leaving_source::Peer };
};

/// Instances that a peer found new on the cloud's list.
struct instances_heard {
    std::vector<instance_info> instances;
};

/// A load report from the node that polls the endpoint.
struct load_heard {
    load_report report;
};

/// The entry nodes that share the polling with this one.
struct pollers_known {
    std::vector<poller> pollers; ///< Alive nodes, this one included.
};

using table_message = std::variant<cloud_list, own_load, leaving_notice, instances_heard, load_heard, pollers_known>;

/// The list of usable endpoints changed.
struct publish_endpoints {
    endpoint_list usable;
    double sharingNodes { 1 }; ///< Entry nodes that send to one of them, about.
};

struct publish_load {
    load_report report;
};

/// Peers have to hear that an endpoint is leaving.
struct tell_peers_leaving {
    Common::endpoint_id id;
};

/// Peers have to hear of new instances, so that one reader of the cloud's list serves them all.
struct tell_peers_instances {
    std::vector<instance_info> instances;
};

/// A node that routes to the endpoint has to hear its load.
struct tell_peer_load {
    Common::node_id node;
    load_report report;
};

/// An entry instance on the cloud's list, as a seed for the membership.
struct publish_entries {
    std::vector<instance_info> entries;
};

using table_action = std::variant<publish_endpoints, publish_load, tell_peers_leaving, tell_peers_instances, tell_peer_load, publish_entries>;

struct endpoint_entry {
    instance_info info;
    Common::instant unreachableUntil; ///< After a refused connection.
    Common::instant keptUntil; ///< A peer's word on it counts until the lagging list shows it.
};

struct endpoint_table {
    poller self;
    std::vector<poller> pollers;
    bool isListed { false }; ///< The cloud's list has been read once.
    std::map<Common::endpoint_id, endpoint_entry> entries;
    /// Endpoints that leave, since when. Latched: a notice may come before the list shows the endpoint, the list
    /// may lose it and show it again, and it still does not come back under its id.
    std::map<Common::endpoint_id, Common::instant> leaving;
};

/// How long a refused connection keeps an endpoint out of use.
constexpr std::chrono::seconds unreachablePeriod { 2 };
/// How long an endpoint that a peer told of may be missing on the list.
constexpr std::chrono::seconds listLagAllowance { 60 };
/// How long a leaving endpoint is remembered.
constexpr std::chrono::hours leavingRetention { 2 };

/// @param table the endpoints; changed in place.
/// @param message what was heard.
/// @param now the present time.
/// @return what other duties have to know.
std::vector<table_action> stepEndpoints(endpoint_table& table, table_message&& message, Common::instant now);

/// @param table the endpoints.
/// @return the endpoints whose load this node reads for itself and for others.
std::vector<instance_info> listPolledHere(const endpoint_table& table);

/// @param table the endpoints.
/// @return how many nodes share the reading of the cloud's list with this one, itself included.
size_t countListReaders(const endpoint_table& table);

/// @param table the endpoints.
/// @return how many entry nodes send to one endpoint, this one included, about.
double countSharingNodes(const endpoint_table& table);

/// @param table the endpoints.
/// @param now the present time.
/// @return those of this node's subset that may take new work.
endpoint_list listUsable(const endpoint_table& table, Common::instant now);

} // namespace Endpoints
