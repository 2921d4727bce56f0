#pragma once

/// @file
/// Helper functions for text.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

/// @param text the text to split.
/// @param separator the character between parts.
/// @return the parts, empty ones included.
std::vector<std::string> split(std::string_view text, char separator);

/// @param text decimal digits only.
/// @return the number, or nothing when the text is not a decimal number that fits in 64 bits.
std::optional<uint64_t> parseUnsigned(std::string_view text);

/// Compares two secrets in a time that depends only on their length, to prevent timing attacks.
/// @return whether they are equal.
bool equalSecrets(std::string_view left, std::string_view right);

/// @param number the value to format.
/// @return at least twelve digits with leading zeros, so that texts sort like their numbers.
std::string zeroPadded(uint64_t number);

} // namespace Common
