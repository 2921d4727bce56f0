#pragma once

/// @file
/// Rows of the platform's metadata store, and the queries and transactions on them.

#include "Common/Ids.h"

#include <chrono>
#include <string>
#include <vector>

namespace Store {

/// Position of a transaction in the store's total order of transactions.
using row_version = Common::strong_type<struct row_version_tag, uint64_t>;
/// Counts how often the store was restored from a backup that lacks some of what it had acknowledged. Versions of
/// different eras can't be compared. Zero: the store tells no era.
using store_era = Common::strong_type<struct store_era_tag, uint64_t>;
/// Time of the store's own monotonic clock, in milliseconds.
using store_time = Common::strong_type<struct store_time_tag, int64_t>;

struct row_name {
    std::string table;
    std::string part; ///< Partition of the table; empty in tables without partitions.
    std::string key; ///< Unique within its part.

    friend auto operator<=>(const row_name&, const row_name&) = default;
};

struct row {
    row_name name;
    std::string value;
    row_version version; ///< Of the transaction that wrote the row last.
    bool isRemoved { false }; ///< Only in answers to a change_query: the row was deleted.
};

/// The version that a row must have for a transaction to apply; zero: the row must not exist.
struct row_condition {
    row_name name;
    row_version version;
};

struct row_write {
    row_name name;
    std::string value;
};

/// Applied atomically. All rows must be in one part.
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_name> removals;
};

enum class call_outcome {
    Done,
    ConditionFailed, ///< Nothing was applied; the answer holds the current rows.
    HistoryLost, ///< The store no longer keeps the changes after the given version.
    Refused, ///< Nothing was applied: rate limit, outage or missing permission.
    Unknown, ///< No answer: it may have been applied, or may still be.
};

/// The answer to a query or a transaction.
struct rows_answer {
    call_outcome outcome { call_outcome::Unknown };
    store_era era; ///< In which the store answered.
    std::vector<row> rows;
    bool lacksRows { false }; ///< It has no list of rows that could be read, which isn't the same as an empty one.
    bool hasMore { false }; ///< The range has further rows after these.
    row_version newest; ///< The store's newest version at the answer.
    store_time now; ///< When the store answered.
    uint64_t receivedBytes { 0 }; ///< Of the body, also when the call was given up.
    std::chrono::milliseconds elapsed { 0 }; ///< From the start of the call to its end.
};

/// @param answer an answer.
/// @param era the newest era that is known.
/// @return whether the answer tells of a state of the store that a restore may have undone.
inline bool isOutdated(const rows_answer& answer, store_era era)
{
    const bool isDefinite = answer.outcome != call_outcome::Refused && answer.outcome != call_outcome::Unknown;
    return isDefinite && answer.era < era;
}

/// Reads a range of keys of one part of a table.
struct range {
    std::string table;
    std::string part;
    std::string from; ///< Included; empty: from the first key.
    std::string to; ///< Excluded; empty: to the last key.
    uint32_t limit { 500 }; ///< Maximum number of rows in the answer.
};

/// Reads the changes of a table after a version. The store answers when there are some, or after maxWait.
struct change_query {
    std::string table;
    row_version after;
    std::chrono::milliseconds maxWait { 0 };
};

} // namespace Store
