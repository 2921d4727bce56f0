#pragma once

/// @file
/// Follows a table of the platform's store: reads it whole, then waits for changes; reads it whole again when the
/// history of changes is lost. Pure: no clock, no socket.

#include "Store/Rows.h"

#include <map>
#include <optional>
#include <variant>

namespace Store {

/// How a watch follows its table.
struct watch_settings {
    std::string table;
    std::chrono::milliseconds longestWait { 1500 }; ///< A feed that fell silent is noticed after it.
    std::chrono::milliseconds longestRetry { 600 }; ///< Between two tries while the store doesn't answer.
    std::chrono::milliseconds pause { 0 }; ///< After changes, so that those of a busy moment come in one answer.
};

struct table_watch {
    watch_settings settings;
    std::map<std::string, row> rows; ///< By key; the table's rows have no part.
    std::map<std::string, row> incoming; ///< Of a whole reading under way.
    std::string readFrom; ///< Where the whole reading goes on.
    row_version newest;
    bool isWhole { false }; ///< The rows are those of one moment, plus all changes since.
    bool isCalling { false };
    bool isLost { false }; ///< The last call failed.
    bool wantsRefresh { false }; ///< Someone knows of a newer state: read at once.
    uint32_t failures { 0 };
    Common::instant nextCall;
    Common::instant heardAt; ///< When the store last confirmed the rows.
};

using watch_query = std::variant<range, change_query>;

/// @param watch the watch; a query that is returned counts as under way.
/// @return what to ask the store now, if anything.
std::optional<watch_query> nextQuery(table_watch& watch, Common::instant now);

/// What an answer meant.
struct watch_event {
    bool hasChanged { false };
    bool hasReturned { false }; ///< The store answers again after a failure.
    bool hasFailed { false }; ///< The store stopped answering.
};

/// Takes the answer to the query under way.
watch_event takeAnswer(table_watch& watch, const rows_answer& answer, Common::instant now);

} // namespace Store
