#pragma once

/// @file
/// Chooses the nodes that callers are given to connect to, and encodes node rows. No clock, no socket.

#include "Common/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// What is known about a node, from its row in the store and from the membership.
struct node_entry {
    Common::node_id node;
    std::string clientAddress; ///< Where callers connect: IP number and port; empty when it serves none.
    std::string peerAddress; ///< Where other nodes connect: IP number and port.
    Common::zone_name zone;
    Common::region_name region;
    Common::incarnation_number incarnation;
    double cores { 1 }; ///< CPU cores granted to the node.
    /// Milliseconds by which the node's wall clock was ahead of the store's clock when the node registered; empty when
    /// unknown.
    std::optional<int64_t> clockOffset;
    bool isLeaving { false };
    bool isReachable { true }; ///< According to the membership.
};

using node_map = std::map<Common::node_id, node_entry>;

/// Maximum number of addresses in one directory answer.
constexpr size_t maxAddresses = 64;

/// @param nodes all known nodes.
/// @param zone the caller's availability zone.
/// @param region the caller's region.
/// @return addresses of reachable nodes that are not leaving: those of the zone when there are enough, else those of the
/// region, else all; at most maxAddresses.
std::vector<std::string> chooseAddresses(const node_map& nodes, const Common::zone_name& zone, const Common::region_name& region);

/// @param entry a node.
/// @return the value of its row in the store, as JSON.
std::string encodeNode(const node_entry& entry);

/// @param node the row's key.
/// @param text the row's value.
/// @return the node; nothing when the row can't be parsed.
std::optional<node_entry> decodeNode(const Common::node_id& node, const std::string& text);

} // namespace Fleet
