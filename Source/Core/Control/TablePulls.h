#pragma once

/// @file
/// Asks peers for the state of the store's tables while neither the relay of the zone nor the store keeps a copy current,
/// and answers such queries. A node that the store rejects has no other way to close a gap in what its relay has sent.

#include "Control/ControlContext.h"
#include "Control/TableRelay.h"
#include "Store/TableState.h"

#include <map>
#include <string>

namespace Control {

/// Queries for one table.
struct table_pull {
    Common::instant nextQuery; ///< Earliest time.
    size_t queries { 0 }; ///< Sent since the copy was last current.
};

/// @param pull changed when a query is due.
/// @param watch the copy.
/// @param nodes all registered nodes.
/// @param self this node.
/// @param relay the zone's relay, if it is known to work; may be this node.
/// @param now current time.
/// @return the peer to ask for the table's state now; empty if the copy is current, was never complete, or nobody can be asked.
std::optional<Common::node_id> choosePeerToAsk(table_pull& pull, const Store::table_watch& watch, const Fleet::node_map& nodes, const Common::node_id& self, const std::optional<Common::node_id>& relay, Common::instant now);

/// The queries of a node.
struct table_pulls {
    control_context& context;
    const control_outlets& outlets;
    std::map<std::string, table_pull> byTable {};
};

/// Sends the queries that are due.
void queryPeers(table_pulls& pulls, const std::vector<const Store::table_watch*>& watches, const std::optional<Common::node_id>& relay, Common::instant now);

/// Answers a peer's query if this node's copy is newer.
void answerPeer(const table_pulls& pulls, const Store::table_watch& watch, const table_state_requested& message);

} // namespace Control
