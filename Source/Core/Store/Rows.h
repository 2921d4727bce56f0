#pragma once

/// @file
/// Rows of the platform's metadata store, and the calls on them.

#include "Common/Ids.h"

#include <string>
#include <vector>

namespace Store {

/// Position in the store's single order of transactions.
using row_version = Common::strong_type<struct row_version_tag, uint64_t>;
/// The store's own steady clock, in milliseconds.
using store_time = Common::strong_type<struct store_time_tag, int64_t>;

struct row_name {
    std::string table;
    std::string part;
    std::string key;

    friend auto operator<=>(const row_name&, const row_name&) = default;
};

struct row {
    row_name name;
    std::string value;
    row_version version;
    bool isRemoved { false }; ///< Only in changes: the row is no longer there.
};

/// A row must have this version for a transaction to apply; zero: the row must not exist.
struct row_condition {
    row_name name;
    row_version version;
};

struct row_write {
    row_name name;
    std::string value;
};

/// Applied whole or not at all. All rows stand in one part.
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_name> removals;
};

enum class call_outcome {
    Done,
    ConditionFailed, ///< Nothing was done; the answer holds the rows as they are.
    HistoryLost, ///< The changes asked for are no longer kept.
    Refused, ///< Nothing was done: rate, outage or no right.
    Unknown, ///< No answer: it may have been done, or may be done later.
};

struct rows_answer {
    call_outcome outcome { call_outcome::Unknown };
    std::vector<row> rows;
    bool hasMore { false };
    row_version newest;
    store_time now;
};

/// A range of keys of one part of a table.
struct range {
    std::string table;
    std::string part;
    std::string from; ///< Included; empty: from the first key.
    std::string to; ///< Excluded; empty: to the last key.
    uint32_t limit { 500 };
};

/// Waits for changes of a table after a version.
struct change_query {
    std::string table;
    row_version after;
    std::chrono::milliseconds longestWait { 0 };
};

} // namespace Store
