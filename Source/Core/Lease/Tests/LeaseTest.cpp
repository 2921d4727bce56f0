/// @file
/// The lease, with suspended machines, lost answers, restarts and failed holders.

#include "Lease/Lease.h"

#include <CppUTest/TestHarness.h>

#include <array>

namespace {

using namespace Lease;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

/// Fake store with one row and its version. The caller passes the time of its clock.
struct one_row_store {
    std::optional<Store::row> row;
    uint64_t version { 10 };

    Store::rows_answer answer(const lease_call& call, int nowMs)
    {
        Store::rows_answer result;
        result.outcome = Store::call_outcome::Done;
        result.now = { nowMs };
        if (const auto* write = std::get_if<Store::transaction>(&call)) {
            const uint64_t rowVersion = row ? row->version.value : 0;
            if (write->conditions.front().version.value != rowVersion) {
                result.outcome = Store::call_outcome::ConditionFailed;
            } else {
                row = Store::row { leaseRow(), write->writes.front().value, { ++version }, false };
            }
        }
        result.newest = { version };
        if (row && (std::holds_alternative<Store::range>(call) || result.outcome == Store::call_outcome::ConditionFailed))
            result.rows.push_back(*row);
        return result;
    }
};

lease_state makeNode(const char* name, uint64_t nonce)
{
    lease_state state;
    state.settings.self = { name };
    state.lastNonce = nonce;
    return state;
}

/// Performs the node's calls until it has none left.
void callAll(lease_state& node, one_row_store& store, int nowMs)
{
    for (int calls = 0; calls < 4; ++calls) {
        const auto call = nextCall(node, at(nowMs));
        if (!call)
            return;
        handleAnswer(node, store.answer(*call, nowMs), at(nowMs));
    }
}

} // namespace

TEST_GROUP(Lease) {};

TEST(Lease, OneNodeHoldsItAndRenewsWithAnIncreasingToken)
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

TEST(Lease, AFailedHolderIsReplacedAndNeverActsTogetherWithItsSuccessor)
{
    one_row_store store;
    lease_state first = makeNode("a", 100);
    lease_state second = makeNode("b", 200);
    callAll(first, store, 0);
    const uint64_t oldFence = first.fence.value;
    int acquiredAt = 0;
    for (int now = 100; now < 12000 && acquiredAt == 0; now += 100) {
        callAll(second, store, now);
        if (mayAct(second, at(now))) {
            acquiredAt = now;
            CHECK(!mayAct(first, at(now)));
        }
    }
    // Longer than the time within which a previous holder must not return.
    CHECK(acquiredAt > 3000);
    CHECK(acquiredAt < 8000);
    CHECK(second.fence.value > oldFence);
}

TEST(Lease, ASuspendedHolderResumesWithoutTheLease)
{
    one_row_store store;
    lease_state first = makeNode("a", 100);
    callAll(first, store, 0);
    CHECK(mayAct(first, at(1000)));
    CHECK(!mayAct(first, at(20000)));
}

TEST(Lease, AWriteWithALostAnswerIsRecognised)
{
    one_row_store store;
    lease_state node = makeNode("a", 100);
    const auto read = nextCall(node, at(0));
    handleAnswer(node, store.answer(*read, 0), at(0));
    const auto write = nextCall(node, at(0));
    store.answer(*write, 0);
    handleAnswer(node, Store::rows_answer {}, at(1500));
    CHECK(!mayAct(node, at(1500)));
    callAll(node, store, 1800);
    CHECK(mayAct(node, at(1800)));
}

TEST(Lease, ARestartedProcessDoesNotInheritTheLease)
{
    one_row_store store;
    lease_state previous = makeNode("a", 100);
    callAll(previous, store, 0);
    lease_state restarted = makeNode("a", 900);
    callAll(restarted, store, 500);
    CHECK(!mayAct(restarted, at(500)));
}

TEST(Lease, RequiringARenewalBlocksOrdersUntilTheNextWrite)
{
    one_row_store store;
    lease_state node = makeNode("a", 100);
    callAll(node, store, 0);
    const uint64_t oldFence = node.fence.value;
    requireRenewal(node, at(100));
    CHECK(!mayAct(node, at(100)));
    callAll(node, store, 100);
    CHECK(mayAct(node, at(100)));
    CHECK(node.fence.value > oldFence);
}

TEST(Lease, AResigningNodeDoesNotRenew)
{
    one_row_store store;
    lease_state node = makeNode("a", 100);
    callAll(node, store, 0);
    node.isResigning = true;
    CHECK(!nextCall(node, at(2000)).has_value());
    CHECK(!mayAct(node, at(5000)));
}

namespace {

constexpr int stepMs = 600;
constexpr int steps = 12;
/// An order arrives at any time from its start to the time limit of its call.
constexpr int callTimeLimitMs = 1200;
constexpr int leaseMs = 3000;

enum class call_fate {
    Answered,
    AnswerLost, ///< The store has performed the call.
    Lost, ///< The store has not received the call.
};

struct sent_order {
    size_t node;
    uint64_t fence;
    int sentAt;
};

/// Two nodes and the store, with the orders that the nodes have sent so far.
struct two_nodes {
    std::array<lease_state, 2> nodes;
    one_row_store store;
    std::vector<sent_order> orders;
};

/// A pause of one node: it neither calls nor orders, and its clock goes on.
struct pause {
    size_t node { 0 };
    int first { 0 };
    int count { 0 };
};

bool isPaused(const pause& item, size_t node, int step)
{
    return item.node == node && step >= item.first && step < item.first + item.count;
}

/// @return why the orders break the rules of a platform that checks no fencing tokens; empty if they don't.
std::string findBreach(const std::vector<sent_order>& orders)
{
    const sent_order& last = orders.back();
    bool hasOtherBetween = false;
    for (auto earlier = orders.rbegin() + 1; earlier != orders.rend(); ++earlier) {
        if (earlier->node == last.node) {
            if (hasOtherBetween && last.sentAt - earlier->sentAt < leaseMs)
                return "a holder returned within the lease time";
            continue;
        }
        hasOtherBetween = true;
        if (earlier->fence > last.fence)
            return "an order with an older token was sent later";
        if (earlier->sentAt + callTimeLimitMs > last.sentAt)
            return "an earlier holder's order may arrive after that of its successor";
    }
    return {};
}

/// Plays all fates of all calls from this step on.
/// @return the first breach found; empty if there is none.
std::string explore(const two_nodes& state, const pause& paused, int step, size_t node, size_t& plays)
{
    if (step == steps) {
        ++plays;
        return {};
    }
    const size_t nextNode = 1 - node;
    const int nextStep = step + (node == 1 ? 1 : 0);
    if (isPaused(paused, node, step))
        return explore(state, paused, nextStep, nextNode, plays);
    const int now = step * stepMs;
    for (const call_fate fate : { call_fate::Answered, call_fate::AnswerLost, call_fate::Lost }) {
        two_nodes next = state;
        lease_state& self = next.nodes[node];
        const auto call = nextCall(self, at(now));
        if (call) {
            const Store::rows_answer answer = fate == call_fate::Lost ? Store::rows_answer {} : next.store.answer(*call, now);
            handleAnswer(self, fate == call_fate::Answered ? answer : Store::rows_answer {}, at(now));
        }
        if (mayAct(self, at(now))) {
            next.orders.push_back({ node, self.fence.value, now });
            const std::string breach = findBreach(next.orders);
            if (!breach.empty())
                return breach;
        }
        const std::string breach = explore(next, paused, nextStep, nextNode, plays);
        if (!breach.empty() || !call)
            return breach;
    }
    return {};
}

} // namespace

TEST(Lease, NoOrderOfTwoHoldersOverlapsWhateverHappensToTheCallsAndPauses)
{
    // The first node holds the lease at the start. All fates of all calls to the store are played, each with pauses of
    // either node of several lengths, for 7.2 s: longer than a lease and its takeover.
    size_t plays = 0;
    for (const size_t node : { 0, 1 }) {
        for (const int count : { 0, 3, 6, 9 }) {
            for (int first = 0; first < (count == 0 ? 1 : 6); ++first) {
                two_nodes start;
                start.nodes = { makeNode("a", 100), makeNode("b", 200) };
                callAll(start.nodes[0], start.store, 0);
                const std::string breach = explore(start, { node, first, count }, 0, 0, plays);
                CHECK_EQUAL(std::string(), breach);
            }
        }
    }
    CHECK(plays > 10000);
}

TEST(Lease, AnUnreadableRecordIsRejected)
{
    for (const char* text : { "", "[]", "{}", "{\"holder\":\"a\"}", "x" })
        CHECK(!decodeRecord(text).has_value());
    const lease_record record { { "n" }, { 42 }, 7 };
    CHECK(decodeRecord(encodeRecord(record))->until == record.until);
}
