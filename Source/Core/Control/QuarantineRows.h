#pragma once

/// @file
/// The rows of quarantined fingerprints in the platform's store: read once at the start, before this node serves, and
/// written when this node has something to add.

#include "Control/ControlContext.h"

#include <map>

namespace Control {

struct quarantine_rows {
    control_context& context;
    control_outlets& outlets;
    std::map<Quarantine::fingerprint, Quarantine::stored_quarantine> unwritten {}; ///< Newest state of each.
    std::map<Quarantine::fingerprint, Quarantine::stored_quarantine> written {}; ///< Rows that this node has written.
    bool isWriting { false };
    Common::instant nextWrite {};
    bool isReading { false };
    bool isRead { false };
    bool hasTried { false }; ///< A first read has succeeded or failed.
    Common::instant nextRead {};
    std::optional<Common::instant> started {};
};

/// Adds what has to be written.
void addChanges(quarantine_rows& rows, const std::vector<Quarantine::stored_quarantine>& changes);

/// Reads the rows unless they are known already, and writes those that are due. To be called often.
void maintain(quarantine_rows& rows, Common::instant now);

/// @return whether this node may begin to serve: the rows are known, or couldn't be read soon.
bool mayServe(const quarantine_rows& rows, Common::instant now);

/// The store was restored from a backup: writes again what this node has written.
void beginEra(quarantine_rows& rows);

} // namespace Control
