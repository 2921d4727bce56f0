#pragma once

/// @file
/// The records that entry nodes keep of each other.

#include "Common/Ids.h"

#include <map>
#include <string>

namespace Membership {

/// In order of precedence: of two records with the same incarnation, the one with the later status wins.
enum class member_status {
    Alive,
    Suspect, ///< Sends no probes or replies to a node that probes it; the node may still refute this.
    Leaving, ///< Announced by the node itself: it accepts no new callers.
    Dead,
};

/// One entry node.
struct member {
    Common::node_id id;
    std::string peerAddress;
    std::string httpAddress;
    Common::zone_name zone;
    Common::region_name region;
    Common::incarnation_number incarnation;
    member_status status { member_status::Alive };
};

using member_map = std::map<Common::node_id, member>;

/// @param status a member's status.
/// @return its stable name.
std::string_view nameOf(member_status status);

} // namespace Membership
