#pragma once

/// @file
/// Which peers a node probes and passes facts to: on a ring of hashed ids, those at distances 1, 2, 4, 8 and so on.
/// A node has about log2(n) links, and a fact reaches all n nodes in as many hops.

#include "Membership/Model.h"

#include <vector>

namespace Membership {

/// @param self this node.
/// @param members all known members; the dead are passed over.
/// @return the peers that this node is linked to, without repetition.
std::vector<Common::node_id> chooseLinks(const Common::node_id& self, const member_map& members);

/// With many links a change is pushed on every third of them: fewer copies for a few more hops.
/// @param self this node.
/// @param members all known members.
/// @return the links for large facts, in order of distance.
std::vector<Common::node_id> choosePushLinks(const Common::node_id& self, const member_map& members);

/// @param members all known members.
/// @param self never chosen.
/// @param key what is to be placed.
/// @param rank zero for the best peer, one for the next.
/// @return an alive peer for the key, or an empty id when there are too few.
Common::node_id choosePeer(const member_map& members, const Common::node_id& self, const std::string& key, size_t rank);

} // namespace Membership
