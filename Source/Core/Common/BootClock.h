#pragma once

/// @file
/// A steady clock that also counts the time for which a machine is suspended.

#include "Common/Ids.h"

namespace Common {

/// @return time since the machine's start, sleep included.
instant bootClockNow();

} // namespace Common
