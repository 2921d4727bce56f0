#pragma once

/// @file
/// Seeded faults, in series and overlapping, against a world of the soak.

#include "Common/Random.h"
#include "Faults/SoakWorld.h"

#include <chrono>
#include <map>
#include <string>

namespace Faults {

struct plan_settings {
    uint64_t seed { 1 };
    std::chrono::milliseconds length { 20000 };
    bool isPlannedOnly { false }; ///< Only what operators do on purpose.
};

/// Plays the plan; at its return all faults are repaired.
/// @return how often each fault was caused.
std::map<std::string, int> playPlan(soak_world& world, const plan_settings& settings);

} // namespace Faults
