#pragma once

/// @file
/// The overlay network of the entry nodes. On a ring of hashed ids, a node is linked to the peers at distances 1, 2,
/// 4, 8 and so on; it probes these peers and forwards facts to them. A node has about log2(n) links, and a fact reaches
/// all n nodes within as many hops.

#include "Membership/Model.h"

#include <vector>

namespace Membership {

/// @param self this node.
/// @param members all known members; dead ones are skipped.
/// @return the peers that this node is linked to, without duplicates, in order of distance.
std::vector<Common::node_id> chooseLinks(const Common::node_id& self, const member_map& members);

/// Selects every third link if there are many: fewer copies of a large message, for a few more hops.
/// @param self this node.
/// @param members all known members.
/// @return the links for large messages, in order of distance.
std::vector<Common::node_id> choosePushLinks(const Common::node_id& self, const member_map& members);

/// Assigns a key to a peer by rendezvous hashing: all nodes score the peers alike.
/// @param members all known members.
/// @param self this node, which is never chosen.
/// @param key the key, such as a request's id.
/// @param rank zero for the peer with the highest score, one for the next.
/// @return an alive peer, or an empty id if rank is not below the number of alive peers.
Common::node_id choosePeer(const member_map& members, const Common::node_id& self, const std::string& key, size_t rank);

} // namespace Membership
