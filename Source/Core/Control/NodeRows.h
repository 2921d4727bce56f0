#pragma once

/// @file
/// The rows of nodes in the store: this node's own, and those of nodes that ended without removing theirs.

#include "Control/ControlContext.h"
#include "Store/TableWatch.h"

#include <set>

namespace Control {

struct node_rows {
    control_context& context;
    Store::table_watch watch {}; ///< The table of all nodes.
    bool isRegistered { false }; ///< The store has this node's row as it is now.
    bool isRegistering { false };
    bool isLeaving { false };
    bool hasLeft { false }; ///< The row is gone for good.
    Common::instant nextRegistration {};
    std::set<Common::node_id> deadNodes {}; ///< As the peers see them.
    bool isRemovingNode { false };
};

/// The table has changed: brings the list of nodes up to date.
void readNodeRows(node_rows& rows);

/// Writes this node's row when the store doesn't have it.
void registerSelf(node_rows& rows, Common::instant now);

/// Tells the store that this node begins to leave.
void noteLeaveBegun(node_rows& rows);

/// Removes this node's row for good.
void removeSelf(node_rows& rows);

/// Removes the row of a dead node; only the holder of the lease may. Rows of nodes that ended without a word would hold
/// back their share of the allowances for good.
void removeDeadNodes(node_rows& rows);

} // namespace Control
