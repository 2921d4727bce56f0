#pragma once

/// @file
/// Hash functions with the same result on every node and in every build.

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// @param text the bytes to hash.
/// @param seed different seeds give different hashes.
/// @return a 64-bit hash (XXH3), the same on every machine.
uint64_t hash64(std::string_view text, uint64_t seed = 0);

/// @param number the value to format.
/// @return sixteen lower-case hexadecimal digits.
std::string toHex(uint64_t number);

/// Rendezvous hashing: the candidate with the highest score owns the key.
/// @param key the key to assign to an owner.
/// @param candidate name of a possible owner.
/// @return the candidate's score for the key.
uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

} // namespace Common
