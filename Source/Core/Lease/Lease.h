#pragma once

/// @file
/// A lease in a row of the platform's store. Only its holder issues orders. Every renewal increases the fencing token,
/// so a delayed order is refused after a newer one. Pure: no clock, no socket.
///
/// A lease belongs to one era of the store. After a restore the row may tell an earlier lease than the last one, or none,
/// so a lease of an earlier era says nothing about who may act. Its holder stops acting and acquires it again at once,
/// because no other node can hold one yet; the other nodes wait for as long as it can have lasted.
///
/// Instants are of a clock that keeps running while the machine is suspended.

#include "Store/Rows.h"

#include <optional>
#include <variant>

namespace Lease {

using std::chrono::milliseconds;

/// Increases with every renewal and every change of holder, also when the store's versions go back; see makeFence().
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
    Store::store_era era; ///< Known to the holder when it wrote the row.
    uint64_t nodes { 0 }; ///< How many nodes the holders have known lately; zero if unknown.
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
    Store::store_era era; ///< The newest that is known.
    bool hasEraRisen { false }; ///< Since the first answer to this node.
    Store::row_version version; ///< Version of the last known row; zero when there is no row.
    Common::instant versionSeenAt; ///< When the row was first seen in this era with this version.
    /// Until then no other node can act, because this node held the lease in an earlier era.
    Common::instant reacquireUntil;
    bool isHeld { false };
    fencing_token fence;
    Common::instant heldUntil; ///< Earliest local time at which the lease may end.
    Common::instant heldSince;
    uint64_t knownNodes { 0 }; ///< How many nodes this node knows, itself included.
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

/// Ends a lease of an earlier era.
/// @param state changed in place.
/// @param era the era that the store has told; ignored unless newer than the one known.
/// @param now current local time.
void beginEra(lease_state& state, Store::store_era era, Common::instant now);

/// @param era below 2^13, so that the token stays below 2^53: JSON numbers are exact up to there.
/// @param version of the lease's row, below 2^40.
/// @return a token that is higher than all of earlier eras, and within an era higher for a later version.
fencing_token makeFence(Store::store_era era, Store::row_version version);

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
