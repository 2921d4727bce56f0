#pragma once

/// @file
/// A monotonic clock that also advances while the machine is suspended.

#include "Common/Ids.h"

namespace Common {

/// @return time since the machine booted, including time in suspend (CLOCK_BOOTTIME).
instant bootClockNow();

} // namespace Common
