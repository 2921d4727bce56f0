#pragma once

/// @file
/// The row of the table service that ensures that a call which isn't idempotent runs at most once.

#include "Common/Ids.h"
#include "Platform/Table.h"

#include <optional>
#include <string>

namespace Idempotency {

enum class call_state {
    Dispatching, ///< Claimed by one attempt, which may have sent the call.
    Done, ///< The outcome is stored; duplicates are answered with it.
    NotRun, ///< Certainly never sent; may be claimed again.
    Unknown, ///< Sent, but it isn't known whether it ran. Never sent again.
};

/// The complete answer of the service.
struct call_outcome {
    int status { 0 };
    std::string body;
};

/// The contents of the row of one call.
struct call_record {
    uint64_t rowVersion { 0 }; ///< Version of the row in the table; zero when there is none.
    call_state state { call_state::Dispatching };
    std::string attemptToken; ///< Identifies the attempt that claimed the call.
    std::string bodyHash; ///< Hash of the request, to detect a key that is reused for a different request.
    std::string node; ///< The node that claimed the call.
    Common::wall_time claimedAt;
    call_outcome outcome; ///< Only in state Done.
};

/// @param account the account that makes the call.
/// @param key the caller's idempotency key.
/// @return the key of the call's row.
Platform::table_key recordKey(const Common::account_id& account, const std::string& key);

/// @param key the row's key.
/// @param record the contents to store.
/// @param expectedVersion version of the row to replace; zero if there must be no row.
/// @return a conditional write of the record with the next version.
Platform::table_put encodeRecord(const Platform::table_key& key, const call_record& record, uint64_t expectedVersion);

/// @param row a row of the table.
/// @return the record, or nothing if the row is malformed. An unknown state is read as call_state::Unknown.
std::optional<call_record> decodeRecord(const Platform::table_row& row);

/// @return the name of the state in stored rows and logs.
std::string_view nameOf(call_state state);

} // namespace Idempotency
