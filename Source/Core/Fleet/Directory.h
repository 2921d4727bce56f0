#pragma once

/// @file
/// Which nodes callers are told to connect to. Pure: no clock, no socket.

#include "Common/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// A node as the others know it.
struct node_entry {
    Common::node_id node;
    std::string callersAddress;
    std::string peerAddress;
    Common::zone_name zone;
    Common::region_name region;
    Common::incarnation_number incarnation;
    double coreShare { 1 };
    /// Milliseconds by which the node's time of day lay ahead of the store's clock when it registered.
    std::optional<int64_t> clockOffset;
    bool isLeaving { false };
    bool isReachable { true }; ///< As the peers see it.
};

using node_map = std::map<Common::node_id, node_entry>;

/// Callers are told of so many nodes at most.
constexpr size_t mostAddresses = 64;

/// @param nodes all nodes known.
/// @param zone where the caller stands.
/// @param region where the caller stands.
/// @return addresses of serving nodes: those of the zone, else of the region, else all.
std::vector<std::string> chooseAddresses(const node_map& nodes, const Common::zone_name& zone, const Common::region_name& region);

/// @param item a node.
/// @return its row in the store.
std::string encodeNode(const node_entry& item);

/// @param node the row's key.
/// @param text the row's value.
/// @return the node; its address is empty when the row can't be read.
node_entry decodeNode(const Common::node_id& node, const std::string& text);

} // namespace Fleet
