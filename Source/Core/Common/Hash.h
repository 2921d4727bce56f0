#pragma once

/// @file
/// Hashes that are equal on every node and in every build.

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// @param text the bytes to hash.
/// @param seed varies the hash.
/// @return a 64-bit hash (XXH3), the same on every machine.
uint64_t hash64(std::string_view text, uint64_t seed = 0);

/// @param number the value to print.
/// @return sixteen lower-case hexadecimal digits.
std::string toHex(uint64_t number);

/// Rendezvous hashing: the candidate with the highest score owns the key.
/// @param key what is to be owned.
/// @param candidate one possible owner.
/// @return the candidate's score for the key.
uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

} // namespace Common
