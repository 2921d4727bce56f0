#pragma once

/// @file
/// Passes the changes of a table on from a node that reads them from the store to nodes that keep copies of the same
/// table, so that not every node has to poll the store. Pure: no clock, no socket.
///
/// Changes carry the version that they follow on. A receiver that lacks earlier changes applies nothing and reads the
/// store itself, so a lost message never leaves a gap in a copy. Changes of an earlier era of the store are ignored; on
/// those of a later one the receiver reads the store itself.

#include "Store/TableWatch.h"

namespace Store {

/// A row with a large value, sent as the difference to the value that the receiver has.
struct compressed_row {
    row item; ///< Its value is empty.
    row_version base; ///< Of the row that the value was compressed against; zero: of none.
    std::string bytes; ///< The compressed value.
};

/// Changes of one table, sent by a node that has read them from the store.
struct relayed_changes {
    std::string table;
    row_version after; ///< A copy must be current up to this version before the rows apply to it.
    row_version newest; ///< The copy is current up to this version afterwards.
    store_time confirmedAt; ///< At this time there were no later changes.
    store_time returnedAt; ///< When the store last answered the sender again after an outage; zero: there was none.
    std::vector<row> rows;
    store_era era {}; ///< To which the versions belong.
    std::vector<compressed_row> compressedRows {};
};

/// Changes that a relay has read and not sent yet.
struct relay_outbox {
    row_version announced; ///< Version up to which changes were sent.
    store_time confirmedAt; ///< Confirmation that was sent last.
    std::vector<row> rows;
    size_t bytes { 0 }; ///< Size of the rows.
    std::map<std::string, row> largeRows; ///< The newest state of changed rows with large values, by key; not among the rows.
    std::map<std::string, row> bases; ///< Rows with large values as of the announced version, by key.
};

/// Adds changes from the store's answer to a change_query.
void recordChanges(relay_outbox& outbox, const std::vector<row>& rows);

/// Drops the collected changes after a full read, whose differences are not known as changes. Receivers whose copies are
/// older read the store themselves.
void resetOutbox(relay_outbox& outbox, const table_watch& watch);

/// @param outbox emptied.
/// @param watch the relay's own copy, complete.
/// @return the changes to send, large values compressed. Without rows if these are too large for a message: receivers then
/// read the store.
relayed_changes takeChanges(relay_outbox& outbox, const table_watch& watch);

/// Whether changes from a relay follow on a copy.
enum class change_fit {
    Applies,
    Incomplete, ///< The copy isn't complete yet.
    EarlierEra, ///< The changes are of an earlier era of the store.
    LaterEra,
    Gap, ///< The copy lacks earlier changes.
};

/// @param watch a copy.
/// @param changes as received.
/// @return whether the changes follow on the copy.
change_fit fitOf(const table_watch& watch, const relayed_changes& changes);

/// @return the name in logs.
const char* nameOf(change_fit fit);

/// Applies changes from a relay to a copy.
/// @param watch the copy. Its next call is made at once if earlier changes or the base of a compressed row are missing,
/// else only when the confirmation is older than watch_settings::maxAge.
/// @param changes as received.
/// @param confirmedAt local time of changes.confirmedAt.
/// @param now current time.
/// @return whether rows have changed.
bool applyRelayed(table_watch& watch, const relayed_changes& changes, Common::instant confirmedAt, Common::instant now);

} // namespace Store
