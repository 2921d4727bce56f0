#pragma once

/// @file
/// The decisions that ensure at-most-once calls: which attempt may send a call, and how a duplicate is answered. Pure
/// functions: the time and the replies of the table service are passed in.

#include "Common/Failure.h"
#include "Idempotency/CallRecord.h"

#include <variant>

namespace Idempotency {

/// A call that this node wants to send.
struct call_claim {
    Platform::table_key key;
    call_record record; ///< The record to write; rowVersion is the version that it replaces.
    uint32_t writes { 0 }; ///< Number of writes attempted so far.
};

/// Write the claim's record in place of the row version given in it.
struct write_claim { };
/// Read the row back, because the result of the write doesn't show whose claim is stored.
struct read_claim { };
/// This attempt's claim is in the table: send the call.
struct send_call { };
/// Answer with the stored outcome of an earlier attempt.
struct replay_outcome {
    call_outcome outcome;
};
/// Refuse the call without sending it.
struct refuse_call {
    Common::failure reason;
    bool isUnsettled { false }; ///< The claim may be in the table, or still be written, although the call isn't sent.
};

using claim_decision = std::variant<write_claim, read_claim, send_call, replay_outcome, refuse_call>;

/// An older claim without an outcome is treated as abandoned: its attempt won't store an outcome any more.
constexpr std::chrono::seconds maxClaimAge { 60 };
/// Writes of one claim before the call is refused because the table service is unavailable.
constexpr uint32_t maxClaimWrites { 3 };

/// @param claim the call; its write counter is incremented.
/// @param outcome result of the conditional write.
/// @return the next step.
claim_decision afterClaimWrite(call_claim& claim, Platform::table_outcome outcome);

/// @param claim the call; its row version is updated if the call may be claimed again or is already claimed by it.
/// @param reply the row as read back.
/// @param now current wall-clock time, to detect an abandoned claim.
/// @return the next step.
claim_decision afterClaimRead(call_claim& claim, const Platform::table_reply& reply, Common::wall_time now);

} // namespace Idempotency
