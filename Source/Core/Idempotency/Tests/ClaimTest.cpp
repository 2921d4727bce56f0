/// @file
/// At-most-once calls: the next step after each reply of the table service.

#include "Idempotency/Claim.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Idempotency;
using Platform::table_outcome;

constexpr Common::wall_time testNow { 100000 };

enum class expected_decision {
    Write,
    Read,
    Send,
    Replay,
    Refuse,
};

expected_decision kindOf(const claim_decision& decision)
{
    return static_cast<expected_decision>(decision.index());
}

call_claim makeClaim(uint32_t writes = 0)
{
    call_claim claim;
    claim.key = recordKey({ "depot" }, "k1");
    claim.record.attemptToken = "mine";
    claim.record.bodyHash = "body";
    claim.record.claimedAt = testNow;
    claim.writes = writes;
    return claim;
}

Platform::table_reply rowOf(call_state state, const std::string& attempt, const std::string& bodyHash, int64_t claimedAt)
{
    call_record record;
    record.state = state;
    record.attemptToken = attempt;
    record.bodyHash = bodyHash;
    record.claimedAt = { claimedAt };
    record.outcome = { 200, "stored" };
    const Platform::table_put put = encodeRecord(recordKey({ "depot" }, "k1"), record, 0);
    return { table_outcome::Done, { put.row } };
}

} // namespace

TEST_GROUP(Claim) {};

TEST(Claim, ACallIsSentOnlyAfterItsClaimIsWritten)
{
    struct row {
        table_outcome outcome;
        expected_decision expected;
    };
    const row rows[] = {
        { table_outcome::Done, expected_decision::Send },
        { table_outcome::ConditionFailed, expected_decision::Read },
        { table_outcome::Unknown, expected_decision::Read },
        { table_outcome::Unavailable, expected_decision::Refuse },
    };
    for (const row& item : rows) {
        call_claim claim = makeClaim();
        CHECK(item.expected == kindOf(afterClaimWrite(claim, item.outcome)));
    }
}

TEST(Claim, TheRowReadBackDecidesWhetherTheCallIsSentReplayedOrRefused)
{
    struct row {
        Platform::table_reply reply;
        uint32_t writes;
        expected_decision expected;
        Common::failure_kind refusal;
        Common::run_state run;
    };
    using Common::failure_kind;
    using Common::run_state;
    const row rows[] = {
        // The attempt's own write was applied and its reply was lost.
        { rowOf(call_state::Dispatching, "mine", "body", 100000), 1, expected_decision::Send, {}, {} },
        // The write was not applied: it is repeated up to maxClaimWrites times.
        { { table_outcome::Done, {} }, 1, expected_decision::Write, {}, {} },
        { { table_outcome::Done, {} }, maxClaimWrites, expected_decision::Refuse, failure_kind::StoreUnavailable, run_state::NotRun },
        // The table service is unavailable: nothing was sent, so the call has certainly not run.
        { { table_outcome::Unavailable, {} }, 1, expected_decision::Refuse, failure_kind::StoreUnavailable, run_state::NotRun },
        // Another attempt claimed the call a second ago.
        { rowOf(call_state::Dispatching, "other", "body", 99000), 1, expected_decision::Refuse, failure_kind::CallInProgress, run_state::Unknown },
        // The claim is older than the limit: its attempt was abandoned.
        { rowOf(call_state::Dispatching, "other", "body", 0), 1, expected_decision::Refuse, failure_kind::OutcomeUnknown, run_state::Unknown },
        { rowOf(call_state::Unknown, "other", "body", 99000), 1, expected_decision::Refuse, failure_kind::OutcomeUnknown, run_state::Unknown },
        // A duplicate gets the stored outcome; the same key with a different body is refused.
        { rowOf(call_state::Done, "other", "body", 0), 1, expected_decision::Replay, {}, {} },
        { rowOf(call_state::Done, "other", "changed", 0), 1, expected_decision::Refuse, failure_kind::IdempotencyKeyReused, run_state::NotRun },
        // The call was never sent: it may be claimed again.
        { rowOf(call_state::NotRun, "other", "body", 0), 1, expected_decision::Write, {}, {} },
    };
    for (const row& item : rows) {
        call_claim claim = makeClaim(item.writes);
        const claim_decision decision = afterClaimRead(claim, item.reply, testNow);
        CHECK(item.expected == kindOf(decision));
        const auto* refusal = std::get_if<refuse_call>(&decision);
        if (!refusal)
            continue;
        CHECK(item.refusal == refusal->reason.kind);
        CHECK(item.run == refusal->reason.run);
    }
}

TEST(Claim, AClaimReplacesOnlyTheRowVersionThatWasRead)
{
    call_claim claim = makeClaim(1);
    Platform::table_reply reply = rowOf(call_state::NotRun, "other", "body", 0);
    reply.rows.front().version = 7;
    static_cast<void>(afterClaimRead(claim, reply, testNow));
    const Platform::table_put put = encodeRecord(claim.key, claim.record, claim.record.rowVersion);
    CHECK(Platform::put_condition::VersionIs == put.condition);
    LONGS_EQUAL(7, put.expectedVersion);
    LONGS_EQUAL(8, put.row.version);
}
