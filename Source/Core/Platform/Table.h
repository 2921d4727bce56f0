#pragma once

/// @file
/// The platform's transactional table service as the duties see it: conditional rows and short queries.

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
    uint64_t version { 1 };
    std::string body;
};

enum class put_condition {
    None,
    Absent, ///< The row must not exist.
    VersionIs, ///< The row must carry the expected version.
};

struct table_put {
    table_row row;
    put_condition condition { put_condition::None };
    uint64_t expectedVersion { 0 };
};

/// Puts that take effect together or not at all.
struct table_write {
    std::vector<table_put> puts;
};

struct table_get {
    table_key key;
};

/// Rows of one partition in order of their sort key.
struct table_query {
    std::string partition;
    std::string afterSort;
    uint32_t limit { 500 };
};

using table_operation = std::variant<table_write, table_get, table_query>;

enum class table_outcome {
    Done,
    ConditionFailed, ///< Nothing was written.
    Unavailable, ///< Nothing was written or read.
    Unknown, ///< The write may have taken effect: read it back.
};

struct table_reply {
    table_outcome outcome { table_outcome::Unavailable };
    std::vector<table_row> rows;
};

/// An operation and where its reply goes. The handler runs on the platform thread and must only pass it on.
struct table_call {
    table_operation operation;
    std::function<void(table_reply&&)> onReply;
};

} // namespace Platform
