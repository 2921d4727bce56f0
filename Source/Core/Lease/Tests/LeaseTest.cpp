/// @file
/// The lease between nodes whose machines sleep, whose answers are lost and whose writes come late.

#include "Lease/Lease.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Lease;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

/// A store of one row with its own clock and versions.
struct one_row_store {
    std::optional<Store::row> row;
    uint64_t version { 10 };

    Store::rows_answer answer(const lease_call& call, int nowMs)
    {
        Store::rows_answer made;
        made.outcome = Store::call_outcome::Done;
        made.now = { nowMs };
        if (const auto* write = std::get_if<Store::transaction>(&call)) {
            const uint64_t known = row ? row->version.value : 0;
            if (write->conditions.front().version.value != known) {
                made.outcome = Store::call_outcome::ConditionFailed;
            } else {
                row = Store::row { leaseRow(), write->writes.front().value, { ++version }, false };
            }
        }
        made.newest = { version };
        if (row && (std::holds_alternative<Store::range>(call) || made.outcome == Store::call_outcome::ConditionFailed))
            made.rows.push_back(*row);
        return made;
    }
};

lease_state makeNode(const char* name, uint64_t nonce)
{
    lease_state state;
    state.settings.self = { name };
    state.lastNonce = nonce;
    return state;
}

/// Lets a node call as long as it has something to call.
void callAll(lease_state& node, one_row_store& store, int nowMs)
{
    for (int calls = 0; calls < 4; ++calls) {
        const auto call = nextCall(node, at(nowMs));
        if (!call)
            return;
        takeAnswer(node, store.answer(*call, nowMs), at(nowMs));
    }
}

} // namespace

TEST_GROUP(Lease) {};

TEST(Lease, OneNodeHoldsItAndRenewsWithARisingToken)
{
    one_row_store store;
    lease_state first = makeNode("a", 100);
    lease_state second = makeNode("b", 200);
    uint64_t lastFence = 0;
    for (int now = 0; now < 10000; now += 100) {
        callAll(first, store, now);
        callAll(second, store, now);
        CHECK(mayAct(first, at(now)));
        CHECK(!mayAct(second, at(now)));
        CHECK(first.fence.value >= lastFence);
        lastFence = first.fence.value;
    }
    CHECK(lastFence > 11);
}

TEST(Lease, ASilentHolderIsFollowedAndNeverActsBesideItsSuccessor)
{
    one_row_store store;
    lease_state first = makeNode("a", 100);
    lease_state second = makeNode("b", 200);
    callAll(first, store, 0);
    const uint64_t before = first.fence.value;
    int taken = 0;
    for (int now = 100; now < 12000 && taken == 0; now += 100) {
        callAll(second, store, now);
        if (mayAct(second, at(now))) {
            taken = now;
            CHECK(!mayAct(first, at(now)));
        }
    }
    // Longer than the time in which a duty must not return to an earlier holder.
    CHECK(taken > 3000);
    CHECK(taken < 8000);
    CHECK(second.fence.value > before);
}

TEST(Lease, AFrozenHolderWakesWithoutTheLease)
{
    one_row_store store;
    lease_state first = makeNode("a", 100);
    callAll(first, store, 0);
    CHECK(mayAct(first, at(1000)));
    CHECK(!mayAct(first, at(20000)));
}

TEST(Lease, AWriteWithALostAnswerIsFoundAgain)
{
    one_row_store store;
    lease_state node = makeNode("a", 100);
    const auto read = nextCall(node, at(0));
    takeAnswer(node, store.answer(*read, 0), at(0));
    const auto write = nextCall(node, at(0));
    store.answer(*write, 0);
    takeAnswer(node, Store::rows_answer {}, at(1500));
    CHECK(!mayAct(node, at(1500)));
    callAll(node, store, 1800);
    CHECK(mayAct(node, at(1800)));
}

TEST(Lease, TheHoldersOwnEarlierProcessIsAnotherHolder)
{
    one_row_store store;
    lease_state before = makeNode("a", 100);
    callAll(before, store, 0);
    lease_state restarted = makeNode("a", 900);
    callAll(restarted, store, 500);
    CHECK(!mayAct(restarted, at(500)));
}

TEST(Lease, ARaisedFenceNeedsANewWrite)
{
    one_row_store store;
    lease_state node = makeNode("a", 100);
    callAll(node, store, 0);
    const uint64_t before = node.fence.value;
    raiseFence(node, at(100));
    CHECK(!mayAct(node, at(100)));
    callAll(node, store, 100);
    CHECK(mayAct(node, at(100)));
    CHECK(node.fence.value > before);
}

TEST(Lease, AResigningNodeRenewsNothing)
{
    one_row_store store;
    lease_state node = makeNode("a", 100);
    callAll(node, store, 0);
    node.isResigning = true;
    CHECK(!nextCall(node, at(2000)).has_value());
    CHECK(!mayAct(node, at(5000)));
}

TEST(Lease, ARecordThatCannotBeReadIsNone)
{
    for (const char* text : { "", "[]", "{}", "{\"holder\":\"a\"}", "x" })
        CHECK(!decodeRecord(text).has_value());
    const lease_record record { { "n" }, { 42 }, 7 };
    CHECK(decodeRecord(encodeRecord(record))->until == record.until);
}
