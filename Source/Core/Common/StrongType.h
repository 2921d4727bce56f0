#pragma once

/// @file
/// Strong types for identifiers and units, so that the compiler rejects one in place of another.

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Common {

/// A value that can only be compared with values of the same tag.
/// @tparam tag an incomplete type that makes the strong type distinct.
/// @tparam representation type of the stored value.
template <typename tag, typename representation>
struct strong_type {
    representation value {};

    friend auto operator<=>(const strong_type&, const strong_type&) = default;
};

} // namespace Common

/// Hashes a strong type as its representation.
template <typename tag, typename representation>
struct std::hash<Common::strong_type<tag, representation>> {
    size_t operator()(const Common::strong_type<tag, representation>& item) const
    {
        return std::hash<representation> {}(item.value);
    }
};
