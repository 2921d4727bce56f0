#pragma once

/// @file
/// A lease in a row of the platform's store. Only its holder issues orders. Every renewal increases the fencing token,
/// so a delayed order is refused after a newer one. Pure: no clock, no socket.
///
/// Instants are of a clock that keeps running while the machine is suspended.

#include "Store/Rows.h"

#include <optional>
#include <variant>

namespace Lease {

using std::chrono::milliseconds;

/// Increases with every renewal and every change of holder.
using fencing_token = Common::strong_type<struct fencing_token_tag, uint64_t>;

struct lease_settings {
    Common::node_id self;
    milliseconds duration { 3600 }; ///< Longer than the time within which a previous holder must not return.
    milliseconds renewInterval { 1200 };
    milliseconds watchInterval { 1500 }; ///< Between two reads by a node that is not the holder; depends on its rank.
    /// Longest time from the check of mayAct() to the arrival of the order. An order must not arrive after the end of the
    /// lease: platforms that check no fencing tokens would let it override those of the next holder.
    milliseconds orderTime { 1300 };
};

/// Content of the row.
struct lease_record {
    Common::node_id holder;
    Store::store_time until; ///< End of the lease.
    uint64_t nonce { 0 }; ///< Identifies the write, so that the writer recognises it when the answer was lost.
};

/// A reading of the store's clock, taken at an unknown time between the two local instants.
struct clock_reading {
    Store::store_time now;
    Common::instant sentAt;
    Common::instant receivedAt;
};

struct lease_state {
    lease_settings settings;
    std::optional<lease_record> lastSeen; ///< Last known content of the row.
    Store::row_version version; ///< Version of the last known row; zero when there is no row.
    bool isHeld { false };
    fencing_token fence;
    Common::instant heldUntil; ///< Earliest local time at which the lease may end.
    lease_record claimed; ///< Content that the last write puts into the row.
    uint64_t lastNonce { 0 }; ///< Starts at a random number, so that two processes don't use the same nonce.
    bool isCalling { false }; ///< A call to the store is in progress.
    bool isReading { false }; ///< That call reads the row.
    bool mustRead { true }; ///< The next call reads the row instead of writing it.
    bool mustRenew { false }; ///< The lease isn't held before a write has increased the fencing token.
    bool isResigning { false }; ///< This node no longer acquires or renews the lease.
    Common::instant nextCall; ///< Earliest time of the next call.
    Common::instant sentAt; ///< Start of the current or last call.
    clock_reading clock;
};

/// Name of the lease's row.
Store::row_name leaseRow();

using lease_call = std::variant<Store::range, Store::transaction>;

/// @param state the lease. A returned call is in progress until handleAnswer().
/// @param now current local time.
/// @return the call to send to the store now, if any.
std::optional<lease_call> nextCall(lease_state& state, Common::instant now);

/// Handles the answer to the current call.
void handleAnswer(lease_state& state, const Store::rows_answer& answer, Common::instant now);

/// @return whether this node may issue an order now.
bool mayAct(const lease_state& state, Common::instant now);

/// Requires a renewal, which increases the fencing token, before the next order. To be called after an order was
/// refused because of a newer token or got no answer. Without effect on a node that doesn't hold the lease.
void requireRenewal(lease_state& state, Common::instant now);

/// @param record content of the row.
/// @return its JSON text, the row's value.
std::string encodeRecord(const lease_record& record);
/// @param text a row's value.
/// @return the record, or nothing when the text is not valid.
std::optional<lease_record> decodeRecord(const std::string& text);

} // namespace Lease
