#include "Idempotency/Claim.h"

namespace Idempotency {

namespace {

    constexpr int inProgressRetryAfterSeconds = 1;
    constexpr int storeOutageRetryAfterSeconds = 2;

    refuse_call refuse(Common::failure_kind kind, const call_claim& claim, Common::run_state run, int retryAfterSeconds)
    {
        return { { kind, claim.key.sort, run, retryAfterSeconds }, false };
    }

    refuse_call refuseStoreUnavailable(const call_claim& claim, bool isUnsettled)
    {
        refuse_call refusal = refuse(Common::failure_kind::StoreUnavailable, claim, Common::run_state::NotRun, storeOutageRetryAfterSeconds);
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
        if (age > maxClaimAge)
            return refuse(Common::failure_kind::OutcomeUnknown, claim, Common::run_state::Unknown, 0);
        return refuse(Common::failure_kind::CallInProgress, claim, Common::run_state::Unknown, inProgressRetryAfterSeconds);
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
        return refuseStoreUnavailable(claim, claim.writes > 1);
    }
    return refuseStoreUnavailable(claim, true);
}

claim_decision afterClaimRead(call_claim& claim, const Platform::table_reply& reply, Common::wall_time now)
{
    if (reply.outcome != Platform::table_outcome::Done)
        return refuseStoreUnavailable(claim, true);
    if (reply.rows.empty()) {
        if (claim.writes >= maxClaimWrites)
            return refuseStoreUnavailable(claim, true);
        return write_claim {};
    }
    const auto found = decodeRecord(reply.rows.front());
    if (!found)
        return refuse(Common::failure_kind::OutcomeUnknown, claim, Common::run_state::Unknown, 0);
    if (found->attemptToken != claim.record.attemptToken)
        return answerDuplicate(claim, *found, now);
    // This attempt's own write was applied and only its reply was lost.
    claim.record.rowVersion = found->rowVersion - 1;
    return send_call {};
}

} // namespace Idempotency
