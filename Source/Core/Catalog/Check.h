#pragma once

/// @file
/// Checks a catalog before it is sent: entries that can never match, limits that contradict each other, and what differs from
/// the version in force. Pure functions.

#include "Catalog/Catalog.h"

#include <string>
#include <vector>

namespace Catalog {

enum class finding_kind {
    Error, ///< The entry can't work.
    NeverMatches, ///< The entry has no effect.
    Contradiction, ///< Two values can't both be kept.
};

/// Something in a catalog that an operator hardly wants.
struct finding {
    finding_kind kind { finding_kind::Error };
    std::string entry; ///< Name of the route, service or account; "limits" for the limits.
    std::string text; ///< What is wrong, for people.
};

enum class change_kind {
    Added,
    Removed,
    Changed,
};

/// A difference between two catalogs. Keys of accounts are counted and never shown.
struct difference {
    change_kind kind { change_kind::Changed };
    std::string entry;
    std::string text; ///< What has changed; empty for entries that are added or removed.
};

/// @return the name used in output.
const char* nameOf(finding_kind kind);
/// @return the name used in output.
const char* nameOf(change_kind kind);

/// @param item a catalog; it need not be indexed.
/// @return what is wrong with it, in the order of its entries.
std::vector<finding> checkCatalog(const catalog& item);

/// @param inForce the catalog in force.
/// @param next the catalog that is to replace it.
/// @return an error if nodes would ignore the next one as not newer.
std::vector<finding> checkVersion(const catalog& inForce, const catalog& next);

/// @param inForce the catalog in force.
/// @param next the catalog that is to replace it.
/// @return the differences, by kind of entry and name.
std::vector<difference> compareCatalogs(const catalog& inForce, const catalog& next);

} // namespace Catalog
