#pragma once

/// @file
/// The row of the table service that makes a non-idempotent call run at most once.

#include "Common/Ids.h"
#include "Platform/Table.h"

#include <optional>
#include <string>

namespace Idempotency {

enum class call_state {
    Dispatching, ///< Claimed by one attempt; it may have been sent.
    Done, ///< The outcome is stored and answers every duplicate.
    NotRun, ///< Proven never to have been sent; may be claimed again.
    Unknown, ///< Sent, and nobody knows whether it ran. Never sent again.
};

/// An answer of the service, kept whole.
struct call_outcome {
    int status { 0 };
    std::string body;
};

struct call_record {
    uint64_t rowVersion { 0 }; ///< Zero while there is no row.
    call_state state { call_state::Dispatching };
    std::string attemptToken; ///< Names the attempt that claimed the call.
    std::string bodyHash; ///< Of the request, so that a reused key with another body is told apart.
    std::string node;
    Common::wall_time claimedAt;
    call_outcome outcome;
};

/// @param account whose call it is.
/// @param key the caller's idempotency key.
/// @return the row's key.
Platform::table_key recordKey(const Common::account_id& account, const std::string& key);

/// @param key the row's key.
/// @param record what to store.
/// @param expectedVersion version of the row that is replaced; zero when there must be none.
/// @return a conditional put of the record under the next version.
Platform::table_put encodeRecord(const Platform::table_key& key, const call_record& record, uint64_t expectedVersion);

/// @param row what the table holds.
/// @return the record, or nothing when the row can't be read.
std::optional<call_record> decodeRecord(const Platform::table_row& row);

/// @param state a call state.
/// @return its stable name.
std::string_view nameOf(call_state state);

} // namespace Idempotency
