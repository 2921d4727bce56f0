#pragma once

/// @file
/// Compression of texts that differ little from one that the receiver has (Zstandard with a prefix).

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Common {

/// @param text the text to compress.
/// @param base a text that the receiver has; may be empty.
/// @return the compressed text with a checksum; the smaller, the more of it the base contains.
std::string compress(std::string_view text, std::string_view base);

/// @param compressed as returned by compress().
/// @param base the text that was given to compress().
/// @param maxBytes maximum size of the result.
/// @return the text; empty when the input is damaged, needs another base or is larger than maxBytes.
std::optional<std::string> decompress(std::string_view compressed, std::string_view base, size_t maxBytes);

} // namespace Common
