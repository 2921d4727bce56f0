#pragma once

/// @file
/// The sessions whose text is compared with the committed files.

#include "Golden/World.h"

#include <string>
#include <vector>

namespace Golden {

struct session {
    std::string name; ///< Also the name of its file, without the ending.
    void (*play)(simulated_cluster&);
};

/// @return all sessions, in the order of their names.
std::vector<session> listSessions();

} // namespace Golden
