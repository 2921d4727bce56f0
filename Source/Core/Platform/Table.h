#pragma once

/// @file
/// Operations of the platform's transactional table service: conditional writes of rows, and reads.

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace Platform {

struct table_key {
    std::string partition;
    std::string sort;
};

struct table_row {
    table_key key;
    uint64_t version { 1 }; ///< Set by the writer; put_condition::VersionIs compares it.
    std::string body;
};

enum class put_condition {
    None,
    Absent, ///< The row must not exist.
    VersionIs, ///< The stored row must have the expected version.
};

struct table_put {
    table_row row;
    put_condition condition { put_condition::None };
    uint64_t expectedVersion { 0 }; ///< Used with put_condition::VersionIs only.
};

/// Puts that are written atomically: all of them or none.
struct table_write {
    std::vector<table_put> puts;
};

struct table_get {
    table_key key;
};

/// Reads rows of one partition in ascending order of their sort keys.
struct table_query {
    std::string partition;
    std::string afterSort; ///< Only rows with a greater sort key are read.
    uint32_t limit { 500 }; ///< Maximum number of rows.
};

using table_operation = std::variant<table_write, table_get, table_query>;

enum class table_outcome {
    Done,
    ConditionFailed, ///< Nothing was written.
    Unavailable, ///< Nothing was written or read.
    Unknown, ///< The write may have taken effect; reading the row back shows whether it has.
};

struct table_reply {
    table_outcome outcome { table_outcome::Unavailable };
    std::vector<table_row> rows; ///< Empty for writes and when nothing was found.
};

/// An operation and the handler of its reply. The handler runs on the platform duty's thread, or on the submitting
/// thread when the ring is full, and must only pass the reply on.
struct table_call {
    table_operation operation;
    std::function<void(table_reply&&)> onReply;
};

} // namespace Platform
