#pragma once

/// @file
/// Relaying of the store's tables within an availability zone. One node of a zone, the relay, follows the store and sends
/// what it reads to the others; they query the store only if they hear nothing current. So the calls to the store grow
/// with the number of zones and not with the number of nodes. If the relay is silent the next node in rank takes its
/// place. Pure: no clock, no socket.

#include "Fleet/Directory.h"
#include "Store/ChangeRelay.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Control {

using std::chrono::milliseconds;

struct table_relay {
    std::vector<Common::node_id> ranking; ///< The nodes of this node's zone, best relay first.
    bool isRelay { true };
    Common::node_id betterRelay; ///< The relay of a better rank that was heard last.
    Common::instant betterHeardAt; ///< Last message from it.
    std::map<std::string, Store::relay_outbox> outboxes; ///< By table.
    Common::instant nextAnnouncement; ///< Earliest time.
};

/// @param nodes all registered nodes.
/// @param zone an availability zone.
/// @return the nodes of the zone that are not leaving, best relay first; the same on every node with the same list.
std::vector<Common::node_id> rankRelays(const Fleet::node_map& nodes, const Common::zone_name& zone);

/// Determines whether this node is the relay: it has the best rank, or those of better ranks have been silent.
/// @param relay updated in place.
/// @param self this node.
/// @param now current time.
/// @return whether the role has changed.
bool updateRole(table_relay& relay, const Common::node_id& self, Common::instant now);

/// Records a message from a relay.
/// @param relay updated in place.
/// @param self this node.
/// @param from the sender; only nodes of better rank than this one count.
/// @param now current time.
void recordRelayHeard(table_relay& relay, const Common::node_id& self, const Common::node_id& from, Common::instant now);

/// @return the node that relays for this node's zone, which may be this one; empty if none is known to work.
std::optional<Common::node_id> currentRelay(const table_relay& relay, const Common::node_id& self, Common::instant now);

/// Records an answer that this node got from the store, to relay it.
/// @param watch the table's copy, after the answer was applied to it.
void recordAnswer(table_relay& relay, const Store::table_watch& watch, const Store::rows_answer& answer, const Store::watch_event& event, Common::instant now);

/// Drops what was collected for the tables, because this node has not read them itself without interruption.
void resetOutboxes(table_relay& relay, const std::vector<const Store::table_watch*>& watches);

/// @param relay the changes are removed from its outboxes.
/// @param watches copies of the relayed tables.
/// @param now current time.
/// @return what to send to the other nodes of the zone now; empty if nothing is due. Tables whose copy is not known to be
/// current are left out.
std::vector<Store::relayed_changes> takeAnnouncements(table_relay& relay, const std::vector<const Store::table_watch*>& watches, Common::instant now);

} // namespace Control
