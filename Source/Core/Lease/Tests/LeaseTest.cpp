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

constexpr int stepMs = 100;
constexpr int durationMs = 12000;
/// An order arrives at any time from its start to the time limit of its call.
constexpr int callTimeLimitMs = 1200;
constexpr int leaseMs = 3000;

/// A time in which something is wrong with one node.
struct fault {
    size_t node { 0 };
    int startMs { 0 };
    int lengthMs { 0 };

    bool covers(size_t other, int nowMs) const { return node == other && nowMs >= startMs && nowMs < startMs + lengthMs; }
};

struct faults {
    fault cut; ///< The node's calls to the store get no answer.
    bool performsCutCalls { false }; ///< The store performs them nevertheless.
    fault pause; ///< The node does nothing; its clock goes on.
    int watchPhaseMs { 0 }; ///< First read of the node that is not the holder.
};

struct sent_order {
    size_t node;
    uint64_t fence;
    int sentAt;
};

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

/// Plays two nodes that send orders whenever they may.
/// @param item what goes wrong.
/// @param holders receives the number of different holders.
/// @return the first breach; empty if there is none.
std::string playTwoNodes(const faults& item, size_t& holders)
{
    one_row_store store;
    std::array<lease_state, 2> nodes { makeNode("a", 100), makeNode("b", 200) };
    callAll(nodes[0], store, 0);
    nodes[1].nextCall = at(item.watchPhaseMs);
    std::vector<sent_order> orders;
    for (int now = 0; now < durationMs; now += stepMs) {
        for (size_t node = 0; node < nodes.size(); ++node) {
            if (item.pause.covers(node, now))
                continue;
            while (const auto call = nextCall(nodes[node], at(now))) {
                const bool isCut = item.cut.covers(node, now);
                const Store::rows_answer answer = isCut && !item.performsCutCalls ? Store::rows_answer {} : store.answer(*call, now);
                handleAnswer(nodes[node], isCut ? Store::rows_answer {} : answer, at(now));
            }
            if (!mayAct(nodes[node], at(now)))
                continue;
            holders += orders.empty() || orders.back().node != node ? 1 : 0;
            orders.push_back({ node, nodes[node].fence.value, now });
            // Only the last orders matter for the rules.
            if (orders.size() > 80)
                orders.erase(orders.begin());
            const std::string breach = findBreach(orders);
            if (!breach.empty())
                return breach;
        }
    }
    return {};
}

} // namespace

TEST(Lease, OrdersOfTwoHoldersNeverOverlapThroughCutsAndPauses)
{
    size_t holders = 0;
    size_t plays = 0;
    for (const size_t cutNode : { 0, 1 }) {
        for (const int cutStart : { 0, 700, 1100, 1300, 2500 }) {
            for (const int cutLength : { 0, 1500, 3500, 8000 }) {
                for (const bool performsCutCalls : { false, true }) {
                    for (const size_t pausedNode : { 0, 1 }) {
                        for (const int pauseStart : { 500, 1900, 3100, 3700 }) {
                            for (const int pauseLength : { 0, 800, 4000 }) {
                                for (const int phase : { 0, 200, 500, 800, 1100, 1400 }) {
                                    const std::string breach = playTwoNodes({ { cutNode, cutStart, cutLength }, performsCutCalls, { pausedNode, pauseStart, pauseLength }, phase }, holders);
                                    CHECK_EQUAL(std::string(), breach);
                                    ++plays;
                                }
                            }
                        }
                    }
                }
            }
        }
    }
    // In some of the plays the lease changes hands.
    CHECK(holders > plays * 6 / 5);
}

TEST(Lease, ARenewalRequiredByALateAnswerNeverTakesTheLeaseFromItsNextHolder)
{
    struct row {
        const char* when;
        bool isReading; ///< The first node's read is in progress when the renewal is required.
    };
    const row rows[] = { { "after the loss was seen", false }, { "while the row is read", true } };
    for (const row& item : rows) {
        one_row_store store;
        lease_state first = makeNode("a", 100);
        lease_state second = makeNode("b", 200);
        callAll(first, store, 0);
        int now = 0;
        for (now = 100; !mayAct(second, at(now)); now += 100)
            callAll(second, store, now);
        const auto read = nextCall(first, at(now));
        CHECK_TEXT(read.has_value() && std::holds_alternative<Store::range>(*read), item.when);
        if (item.isReading)
            requireRenewal(first, at(now));
        handleAnswer(first, store.answer(*read, now), at(now));
        if (!item.isReading)
            requireRenewal(first, at(now));
        callAll(first, store, now);
        CHECK_TEXT(!mayAct(first, at(now)), item.when);
        callAll(second, store, now + 1200);
        CHECK_TEXT(mayAct(second, at(now + 1200)), item.when);
    }
}

TEST(Lease, ARequiredRenewalIsMadeThoughTheRowIsBeingRead)
{
    one_row_store store;
    lease_state node = makeNode("a", 100);
    callAll(node, store, 0);
    const uint64_t fence = node.fence.value;
    const auto renewal = nextCall(node, at(1200));
    store.answer(*renewal, 1200);
    handleAnswer(node, {}, at(1200));
    const auto read = nextCall(node, at(1500));
    CHECK(std::holds_alternative<Store::range>(*read));
    requireRenewal(node, at(1500));
    handleAnswer(node, store.answer(*read, 1500), at(1500));
    CHECK(!mayAct(node, at(1500)));
    callAll(node, store, 1500);
    CHECK(mayAct(node, at(1500)));
    CHECK(node.fence.value > fence);
}

TEST(Lease, AnUnreadableRecordIsRejected)
{
    for (const char* text : { "", "[]", "{}", "{\"holder\":\"a\"}", "x" })
        CHECK(!decodeRecord(text).has_value());
    const lease_record record { { "n" }, { 42 }, 7 };
    CHECK(decodeRecord(encodeRecord(record))->until == record.until);
}

TEST(Lease, TheCountOfNodesOutlastsARestartOfAllOfThem)
{
    struct row {
        const char* condition;
        uint64_t seen; ///< In the row of the holder before.
        uint64_t known;
        int64_t heldForMs;
        uint64_t expected;
    };
    const row rows[] = {
        { "first holder", 0, 3, 0, 3 },
        { "fewer known than before", 7, 1, 0, 7 },
        { "more known than before", 3, 7, 0, 7 },
        { "fewer known, held for a minute", 7, 3, 60001, 3 },
    };
    for (const row& item : rows) {
        lease_state node;
        node.settings.self = { "n" };
        node.mustRead = false;
        node.lastSeen = lease_record { { "n" }, { 0 }, 0, {}, item.seen };
        node.knownNodes = item.known;
        node.isHeld = item.heldForMs > 0;
        node.heldSince = at(1000);
        node.heldUntil = at(1000 + item.heldForMs + 1000);
        const auto claim = nextCall(node, at(1000 + item.heldForMs));
        CHECK_TEXT(claim.has_value() && std::holds_alternative<Store::transaction>(*claim), item.condition);
        const auto written = decodeRecord(std::get<Store::transaction>(*claim).writes.front().value);
        CHECK_TEXT(written.has_value(), item.condition);
        CHECK_EQUAL_TEXT(item.expected, written->nodes, item.condition);
    }
}
