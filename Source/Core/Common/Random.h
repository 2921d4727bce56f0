#pragma once

/// @file
/// Seeded pseudo-random numbers; a seed gives the same sequence on every machine.

#include <cstdint>

#include <pcg_random.hpp>

namespace Common {

using random_source = pcg32;

/// @param source the generator.
/// @param bound exclusive upper bound, above zero.
/// @return a uniform integer in [0, bound).
uint32_t uniformBelow(random_source& source, uint32_t bound);

/// @param source the generator.
/// @return a uniform number in [0, 1).
double uniformUnit(random_source& source);

/// @return a seed from the operating system, for processes whose runs need not be reproducible.
uint64_t systemSeed();

} // namespace Common
