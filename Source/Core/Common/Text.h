#pragma once

/// @file
/// Small helpers over text.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

/// @param text the text to cut.
/// @param separator the byte between parts.
/// @return the parts, empty ones included.
std::vector<std::string> split(std::string_view text, char separator);

/// @param text decimal digits only.
/// @return the number, or nothing when the text is no unsigned number.
std::optional<uint64_t> parseUnsigned(std::string_view text);

/// Compares two secrets in time that depends on their length alone.
/// @return whether they are equal.
bool equalSecrets(std::string_view left, std::string_view right);

/// @param number the value to print.
/// @return twelve digits with leading zeros, so that text order is number order.
std::string zeroPadded(uint64_t number);

} // namespace Common
