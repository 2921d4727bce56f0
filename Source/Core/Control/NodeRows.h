#pragma once

/// @file
/// The nodes' rows in the store: writes this node's own row and removes those of dead nodes.

#include "Control/ControlContext.h"
#include "Store/TableWatch.h"

#include <set>

namespace Control {

struct node_rows {
    control_context& context;
    Store::table_watch watch {}; ///< The table of all nodes.
    bool isRegistered { false }; ///< The store has this node's current row.
    Store::row_version registeredAt {}; ///< Of the store, after this node's last write.
    bool isRegistering { false }; ///< A write of this node's row is in progress.
    bool isLeaving { false };
    bool hasLeft { false }; ///< The row was removed and must not be written again.
    Common::instant nextRegistration {};
    std::set<Common::node_id> deadNodes {}; ///< According to the membership protocol.
    bool isRemovingNode { false };
};

/// Updates the list of nodes after a change of the table.
void readNodeRows(node_rows& rows);

/// Writes this node's row if the store doesn't have its current state.
void registerSelf(node_rows& rows, Common::instant now);

/// Marks this node as leaving; registerSelf() then writes the new state to the store.
void markSelfLeaving(node_rows& rows);

/// Removes this node's row. It is not registered again.
/// @param onAnswered called with the store's answer, whatever it is; may be empty.
void removeSelf(node_rows& rows, std::function<void()> onAnswered);

/// Removes the row of one dead node. Only the lease holder may call this. The row of a node that crashed would
/// otherwise reserve its share of the allowances forever.
void removeDeadNodes(node_rows& rows);

} // namespace Control
