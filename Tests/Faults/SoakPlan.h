#pragma once

/// @file
/// Seeded plan of sequential and overlapping faults for a soak run.

#include "Common/Random.h"
#include "Faults/SoakWorld.h"

#include <chrono>
#include <map>
#include <string>

namespace Faults {

struct plan_settings {
    uint64_t seed { 1 };
    std::chrono::milliseconds duration { 20000 };
    bool restoresStore { false }; ///< The store is at times restored from an older copy.
    bool isPlannedOnly { false }; ///< Only planned operations: restarts, drains, changes of settings and catalog.
};

/// Causes and repairs faults for the plan's length. All faults are repaired on return.
/// @return number of times each fault was caused, by name.
std::map<std::string, int> runPlan(soak_world& world, const plan_settings& settings);

} // namespace Faults
