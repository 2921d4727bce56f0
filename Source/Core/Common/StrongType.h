#pragma once

/// @file
/// Strong types for identifiers and units, so that two of them are never exchanged by accident.

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Common {

/// A value that only compares with values of the same tag.
/// @tparam tag distinguishes one strong type from another.
/// @tparam representation the type that is stored.
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
