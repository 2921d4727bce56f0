#pragma once

/// @file
/// Entry nodes as their peers know them.

#include "Common/Ids.h"

#include <map>
#include <string>

namespace Membership {

/// In order of precedence: of two facts about one incarnation the later state wins.
enum class member_status {
    Alive,
    Suspect, ///< A prober does not hear it; the node itself may still refute this.
    Leaving, ///< By its own word: takes no new callers.
    Dead,
};

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
