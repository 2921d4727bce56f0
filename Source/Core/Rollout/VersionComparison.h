#pragma once

/// @file
/// Statistical comparison of a new version with the version before it, on one class of work over the same period.

#include "Rollout/LatencyComparison.h"

#include <cstdint>
#include <string>

namespace Rollout {

/// Attempts of one class at one version, counted since the rollout began.
struct attempt_counts {
    uint64_t begun { 0 };
    uint64_t ended { 0 };
    uint64_t failed { 0 };
    uint64_t late { 0 }; ///< Answered, but after the class's latency target.
    latency_counts latencies {}; ///< Only of attempts whose expected time is known.
};

attempt_counts operator+(const attempt_counts& left, const attempt_counts& right);

/// Counts of both versions over the same period.
struct comparison {
    attempt_counts candidate; ///< Of the new version.
    attempt_counts previous; ///< Of the version before it.
};

/// Result of the comparison.
enum class verdict {
    NoFault,
    Failing,
    Late,
    Slower,
};

/// @param counts both versions of one class.
/// @return Failing or Late when the new version's rate of such attempts is significantly higher than the previous
/// version's; Failing when both are.
verdict evaluate(const comparison& counts);

/// @param candidate latencies of the new version.
/// @param previous latencies of the version before it.
/// @return Slower when the new version's latencies are significantly higher.
verdict evaluateLatencies(const latency_counts& candidate, const latency_counts& previous);

/// @param candidate latencies of the new version.
/// @param previous latencies of the version before it.
/// @return whether the latencies rule out each of the slowdowns that a version must not have. With too few attempts they
/// don't.
bool isShownToBeAsQuick(const latency_counts& candidate, const latency_counts& previous);

/// @param value a verdict.
/// @return its name as used in causes of a latch.
std::string nameOf(verdict value);

} // namespace Rollout
