#pragma once

/// @file
/// The nodes that keep a key for all others, by rendezvous hashing: the same on every node that knows the same nodes.

#include "Common/Ids.h"

#include <set>
#include <string_view>

namespace Common {

/// The two nodes ranked highest for a key.
struct ranked_owners {
    node_id owner;
    node_id backup; ///< Empty if there is only one node.

    friend bool operator==(const ranked_owners&, const ranked_owners&) = default;
};

/// @param key what is kept.
/// @param self this node.
/// @param peers the other nodes.
/// @return the nodes that keep the key.
ranked_owners rankOwners(std::string_view key, const node_id& self, const std::set<node_id>& peers);

} // namespace Common
