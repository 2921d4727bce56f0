#pragma once

/// @file
/// The state of a table, which a node asks of a peer when neither its relay nor the store keeps its copy current. Pure: no
/// clock, no socket.

#include "Store/ChangeRelay.h"

#include <optional>
#include <string>
#include <vector>

namespace Store {

/// What a node has of a table.
struct state_query {
    std::string table;
    store_era era;
    row_version after; ///< Its copy is current up to this version; zero: it has none.
    store_time confirmedAt; ///< At this time there were no later changes.
};

/// The state of a table for a node that has sent a query.
struct table_state {
    relayed_changes changes; ///< Rows that are later than the query's version.
    std::vector<std::string> keptKeys; ///< Of the other rows; all further ones are gone. Not set when nothing has changed.
};

/// @return the query that asks for what the copy lacks.
state_query makeStateQuery(const table_watch& watch);

/// @param watch the copy of the node that is asked.
/// @param query of the node that asks.
/// @return the answer; empty if the copy isn't known to be newer than that of the asking node.
std::optional<table_state> answerStateQuery(const table_watch& watch, const state_query& query);

/// Brings a copy to a peer's state. A state of another era, or one that is older than the copy, is ignored.
/// @param watch the copy. Its own calls to the store go on; a full read in progress begins anew.
/// @param state as received.
/// @param confirmedAt local time of the state's confirmation.
/// @param now current time.
/// @return whether rows have changed.
bool applyState(table_watch& watch, const table_state& state, Common::instant confirmedAt, Common::instant now);

} // namespace Store
