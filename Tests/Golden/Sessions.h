#pragma once

/// @file
/// The sessions whose text is compared with committed files.

#include "Golden/World.h"

#include <string>
#include <vector>

namespace Golden {

struct session {
    std::string name;
    void (*play)(world&);
};

/// @return all sessions, in the order of their names.
std::vector<session> listSessions();

} // namespace Golden
