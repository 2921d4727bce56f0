#pragma once

/// @file
/// One lease in a row of the platform's store: its holder alone gives orders. Every renewal raises the fencing token, so
/// that an order that is carried out late is refused once a newer one was given. Pure: no clock, no socket.
///
/// Instants are of a clock that also counts the time a machine is suspended.

#include "Store/Rows.h"

#include <optional>
#include <variant>

namespace Lease {

using std::chrono::milliseconds;

/// Rises with every renewal and every change of holder.
using fencing_token = Common::strong_type<struct fencing_token_tag, uint64_t>;

struct lease_settings {
    Common::node_id self;
    milliseconds duration { 3600 }; ///< Longer than the time in which a duty must not return to an earlier holder.
    milliseconds renewInterval { 1200 };
    milliseconds watchInterval { 1500 }; ///< Between two looks of a node that does not hold it, by its rank.
};

/// What the row says.
struct lease_record {
    Common::node_id holder;
    Store::store_time until;
    uint64_t nonce { 0 }; ///< Of the write that made it, to recognise one's own write after a lost answer.
};

/// The store's clock as an answer told it: read at some moment between the two local instants.
struct clock_reading {
    Store::store_time now;
    Common::instant sentAt;
    Common::instant receivedAt;
};

struct lease_state {
    lease_settings settings;
    std::optional<lease_record> seen;
    Store::row_version version; ///< Of the row as last seen; zero when there is none.
    bool isHeld { false };
    fencing_token fence;
    Common::instant heldUntil;
    lease_record claimed; ///< What the last write would make of the row.
    uint64_t lastNonce { 0 }; ///< Begins at random, so that no two processes share one.
    bool isCalling { false };
    bool mustRead { true };
    bool isResigning { false }; ///< Takes or renews no lease any more.
    Common::instant nextCall;
    Common::instant sentAt; ///< Of the call under way, or the last one.
    clock_reading clock;
};

/// Name of the lease's row.
Store::row_name leaseRow();

using lease_call = std::variant<Store::range, Store::transaction>;

/// @param state the lease; a call that is returned counts as under way.
/// @return what to ask the store now, if anything.
std::optional<lease_call> nextCall(lease_state& state, Common::instant now);

/// Takes the answer to the call under way.
void takeAnswer(lease_state& state, const Store::rows_answer& answer, Common::instant now);

/// @return whether this node may give an order now.
bool mayAct(const lease_state& state, Common::instant now);

/// An order was refused for a newer fencing token, or its fate is unknown: renew before the next one.
void raiseFence(lease_state& state, Common::instant now);

/// @param item a record.
/// @return its text in the row.
std::string encodeRecord(const lease_record& item);
/// @param text a row's value.
/// @return the record, or nothing when it can't be read.
std::optional<lease_record> decodeRecord(const std::string& text);

} // namespace Lease
