#pragma once

/// @file
/// The decisions of at-most-once: who may send a call, and what a duplicate is told. No clock, no socket.

#include "Common/Failure.h"
#include "Idempotency/CallRecord.h"

#include <variant>

namespace Idempotency {

/// A call that this node wants to send.
struct call_claim {
    Platform::table_key key;
    call_record record; ///< As it is written; rowVersion is the version that it replaces.
    uint32_t writes { 0 };
};

/// Write the claim's record, replacing the row version that it names.
struct write_claim { };
/// Read the row back.
struct read_claim { };
/// The claim is known to have won: send the call.
struct send_call { };
/// Answer with the stored outcome of an earlier attempt.
struct replay_outcome {
    call_outcome outcome;
};
/// Refuse. When isUnsettled, the claim may yet stand in the table without having been sent.
struct refuse_call {
    Common::failure reason;
    bool isUnsettled { false };
};

using claim_decision = std::variant<write_claim, read_claim, send_call, replay_outcome, refuse_call>;

/// A claim without an outcome that is older than this belongs to an attempt that will not report any more.
constexpr std::chrono::seconds longestCall { 60 };
constexpr uint32_t maxClaimWrites { 3 };

/// @param claim the call; its write counter is advanced.
/// @param outcome what the conditional write said.
/// @return what to do next.
claim_decision afterClaimWrite(call_claim& claim, Platform::table_outcome outcome);

/// @param claim the call; takes over the row's version when it may be claimed again.
/// @param reply the row as read back.
/// @param now wall-clock time, to tell an abandoned claim.
/// @return what to do next.
claim_decision afterClaimRead(call_claim& claim, const Platform::table_reply& reply, Common::wall_time now);

} // namespace Idempotency
