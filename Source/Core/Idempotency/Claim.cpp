#include "Idempotency/Claim.h"

namespace Idempotency {

namespace {

    constexpr int comeBackSeconds = 1;
    constexpr int comeBackAfterOutageSeconds = 2;

    refuse_call refuse(Common::failure_kind kind, const call_claim& claim, Common::run_state run, int retryAfterSeconds)
    {
        return { { kind, claim.key.sort, run, retryAfterSeconds }, false };
    }

    refuse_call refuseForStore(const call_claim& claim, bool isUnsettled)
    {
        refuse_call refusal = refuse(Common::failure_kind::StoreUnavailable, claim, Common::run_state::NotRun, comeBackAfterOutageSeconds);
        refusal.isUnsettled = isUnsettled;
        return refusal;
    }

    claim_decision answerDuplicate(call_claim& claim, const call_record& found, Common::wall_time now)
    {
        if (found.bodyHash != claim.record.bodyHash)
            return refuse(Common::failure_kind::IdempotencyKeyReused, claim, Common::run_state::NotRun, 0);
        switch (found.state) {
        case call_state::Done:
            return replay_outcome { found.outcome };
        case call_state::Unknown:
            return refuse(Common::failure_kind::OutcomeUnknown, claim, Common::run_state::Unknown, 0);
        case call_state::NotRun:
            claim.record.rowVersion = found.rowVersion;
            return write_claim {};
        case call_state::Dispatching:
            break;
        }
        const std::chrono::milliseconds age { now.value - found.claimedAt.value };
        if (age > longestCall)
            return refuse(Common::failure_kind::OutcomeUnknown, claim, Common::run_state::Unknown, 0);
        return refuse(Common::failure_kind::CallInProgress, claim, Common::run_state::Unknown, comeBackSeconds);
    }

} // namespace

claim_decision afterClaimWrite(call_claim& claim, Platform::table_outcome outcome)
{
    claim.writes += 1;
    switch (outcome) {
    case Platform::table_outcome::Done:
        return send_call {};
    case Platform::table_outcome::ConditionFailed:
    case Platform::table_outcome::Unknown:
        return read_claim {};
    case Platform::table_outcome::Unavailable:
        return refuseForStore(claim, claim.writes > 1);
    }
    return refuseForStore(claim, true);
}

claim_decision afterClaimRead(call_claim& claim, const Platform::table_reply& reply, Common::wall_time now)
{
    if (reply.outcome != Platform::table_outcome::Done)
        return refuseForStore(claim, true);
    if (reply.rows.empty()) {
        if (claim.writes >= maxClaimWrites)
            return refuseForStore(claim, true);
        return write_claim {};
    }
    const auto found = decodeRecord(reply.rows.front());
    if (!found)
        return refuse(Common::failure_kind::OutcomeUnknown, claim, Common::run_state::Unknown, 0);
    if (found->attemptToken != claim.record.attemptToken)
        return answerDuplicate(claim, *found, now);
    // The reply of our own write was lost after it took effect.
    claim.record.rowVersion = found->rowVersion - 1;
    return send_call {};
}

} // namespace Idempotency
