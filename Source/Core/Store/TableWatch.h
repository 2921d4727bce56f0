#pragma once

/// @file
/// Keeps a copy of a table of the platform's store: reads all rows, then queries the changes; reads all rows again when
/// the history of changes is lost, after an outage and when the store begins a new era. No clock, no socket.

#include "Store/Rows.h"

#include <map>
#include <optional>
#include <variant>

namespace Store {

struct watch_settings {
    std::string table;
    std::chrono::milliseconds maxWait { 1500 }; ///< Of a change_query; a feed that stops is noticed after it.
    std::chrono::milliseconds maxRetryDelay { 600 }; ///< Upper bound of the delay between retries.
    std::chrono::milliseconds pause { 0 }; ///< After changes, so that further ones arrive in one answer.
    /// If above zero, another node relays the changes (see ChangeRelay.h), and the store is only queried when the last
    /// confirmation is older than this.
    std::chrono::milliseconds maxAge { 0 };
};

/// A full read in progress. It is replaced as a whole when the read begins anew, so that no page of it is joined with
/// pages of the next one.
struct full_read {
    std::map<std::string, row> rows; ///< Rows of the pages read, by key.
    std::string nextKey; ///< Lower bound of the keys of the next page.
    row_version newest; ///< At the first page. Later changes, also to rows of this page, are queried afterwards.
    store_time readAt; ///< Time of the first page by the store's clock.
    Common::instant receivedAt; ///< When the first page was requested: the store's answer isn't older.
};

/// The query whose answer is awaited.
enum class pending_query {
    None,
    FirstPage, ///< Of a full read; depends on no earlier answer.
    NextPage,
    Changes,
    Outdated, ///< Built on versions or pages of an earlier era; its answer is dropped.
};

struct table_watch {
    watch_settings settings;
    std::map<std::string, row> rows; ///< By key; the table's rows have no part.
    full_read reading; ///< Empty while no full read is in progress.
    store_era era; ///< The newest that is known; the rows may still be of the one before while `isComplete` is false.
    row_version newest; ///< Version up to which the rows are current.
    bool isComplete { false }; ///< No full read is due or in progress; the rows include all changes up to newest.
    pending_query pending { pending_query::None };
    bool isFailing { false }; ///< The last call failed.
    bool isRefreshRequested { false }; ///< Set when a newer state is known to exist: requests a full read at once.
    uint32_t failures { 0 }; ///< Failed calls in a row.
    Common::instant nextCall; ///< Earliest time of the next call.
    Common::instant confirmedAt; ///< When the rows were last known to be current.
    store_time confirmedTime; ///< The same by the store's clock.
    store_time returnedTime; ///< When the store last answered again after an outage; zero: there was none.
};

/// A store that was away for a shorter time has let no entry expire.
constexpr std::chrono::milliseconds minOutage { 2000 };

/// Gives up versions and pages of an earlier era; the next call begins a full read. The rows stay until it is finished.
/// @param watch changed in place.
/// @param era the era that the store has told; ignored unless newer than the watch's.
/// @param now current time.
void beginEra(table_watch& watch, store_era era, Common::instant now);

using watch_query = std::variant<range, change_query>;

/// Applies rows of a change_query's answer, or the same from a relay. Rows that the copy already includes are skipped.
/// @param watch a complete copy.
/// @param rows the changed rows, in order.
/// @param newest version up to which the copy is current afterwards.
/// @return whether a row has changed.
bool applyChanges(table_watch& watch, const std::vector<row>& rows, row_version newest);

/// @param watch the watch; marked as having a call pending when a query is returned.
/// @param now current time.
/// @return the query to send to the store now; empty when none is due or one is pending.
std::optional<watch_query> nextQuery(table_watch& watch, Common::instant now);

/// Effects of an answer on the watch.
struct watch_event {
    bool hasChanged { false }; ///< Changes were applied, or a full read is finished.
    bool hasReturned { false }; ///< The store answers again after a failure.
    bool wasAway { false }; ///< The same, and the copy wasn't confirmed meanwhile, by peers either: the store itself was away.
    bool hasFailed { false }; ///< The first failure after a successful call.
    bool isFullRead { false }; ///< A full read is due or in progress: the answer is no list of changes to the copy.
};

/// Applies the answer to the pending query.
/// @param watch changed in place.
/// @param answer the store's answer; its outcome Unknown when there was none.
/// @param now current time.
watch_event handleAnswer(table_watch& watch, const rows_answer& answer, Common::instant now);

} // namespace Store
