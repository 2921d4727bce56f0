#pragma once

/// @file
/// Which endpoints exist and which are leaving, decided from several sources of which each may lag or be silent.
/// No clock, no socket.

#include "Endpoints/Model.h"

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

using table_message = std::variant<cloud_list, own_load, leaving_notice>;

/// The list of usable endpoints changed.
struct publish_endpoints {
    endpoint_list usable;
};

struct publish_load {
    load_report report;
};

/// Peers have to hear that an endpoint is leaving.
struct tell_peers_leaving {
    Common::endpoint_id id;
};

/// An entry instance on the cloud's list, as a seed for the membership.
struct publish_entries {
    std::vector<instance_info> entries;
};

using table_action = std::variant<publish_endpoints, publish_load, tell_peers_leaving, publish_entries>;

struct endpoint_entry {
    instance_info info;
    Common::instant unreachableUntil; ///< After a refused connection.
};

struct endpoint_table {
    std::map<Common::endpoint_id, endpoint_entry> entries;
    /// Endpoints that leave, since when. Latched: a notice may come before the list shows the endpoint, the list
    /// may lose it and show it again, and it still does not come back under its id.
    std::map<Common::endpoint_id, Common::instant> leaving;
};

/// How long a refused connection keeps an endpoint out of use.
constexpr std::chrono::seconds unreachablePeriod { 2 };
/// How long a leaving endpoint is remembered.
constexpr std::chrono::hours leavingRetention { 2 };

/// @param table the endpoints; changed in place.
/// @param message what was heard.
/// @param now the present time.
/// @return what other duties have to know.
std::vector<table_action> stepEndpoints(endpoint_table& table, table_message&& message, Common::instant now);

/// @param table the endpoints.
/// @param now the present time.
/// @return those that may take new work.
endpoint_list listUsable(const endpoint_table& table, Common::instant now);

} // namespace Endpoints
