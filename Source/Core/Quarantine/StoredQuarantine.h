#pragma once

/// @file
/// What the platform's store keeps about a quarantined fingerprint, so that nodes know it when they start.

#include "Quarantine/CrashEvidence.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Quarantine {

/// A row of the store, or its removal.
struct stored_quarantine {
    fingerprint subject;
    uint32_t trials { 0 }; ///< Failed ones.
    bool isRemoved { false };
    std::vector<endpoint_start> crashes {}; ///< Show whether another fingerprint explains all of them.
};

/// Rows that the nodes write at most, so that a node reads all of them with one call.
constexpr size_t maxStoredQuarantines = 500;

/// @return the key of the fingerprint's row.
std::string encodeKey(fingerprint subject);

/// @return the value of the row.
std::string encodeValue(const stored_quarantine& item);

/// @return the row's content; std::nullopt if it is unreadable.
std::optional<stored_quarantine> decodeRow(const std::string& key, const std::string& value);

} // namespace Quarantine
