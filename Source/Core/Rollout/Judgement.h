#pragma once

/// @file
/// Whether a version is worse than the one before it on the same class of work at the same time.

#include <cstdint>
#include <string>

namespace Rollout {

/// Attempts of one class at one version, counted since the rollout began.
struct evidence {
    uint64_t begun { 0 };
    uint64_t ended { 0 };
    uint64_t failed { 0 };
    uint64_t late { 0 }; ///< Answered, but later than the class's target.
};

evidence operator+(const evidence& left, const evidence& right);

/// Both versions, counted over the same time.
struct comparison {
    evidence fresh;
    evidence previous;
};

enum class verdict {
    NoFault,
    Failing,
    Late,
};

/// @param counts both versions of one class.
/// @return whether the fresh version is worse beyond noise.
verdict judge(const comparison& counts);

/// @param item a verdict.
/// @return its stable name.
std::string nameOf(verdict item);

} // namespace Rollout
