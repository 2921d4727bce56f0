/// @file
/// The lease while the store is restored from older copies of itself: three nodes with cuts, pauses, late writes and
/// different knowledge of the era.

#include "Lease/Lease.h"

#include <CppUTest/TestHarness.h>

#include <array>

namespace {

using namespace Lease;

Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

lease_state makeNode(const char* name, uint64_t nonce)
{
    lease_state state;
    state.settings.self = { name };
    state.lastNonce = nonce;
    return state;
}

/// The lease's row in a store that can return to an earlier state.
struct restorable_store {
    struct snapshot {
        int ms { 0 };
        std::optional<Store::row> row;
        uint64_t version { 10 };
    };
    std::vector<snapshot> history { {} };
    uint64_t era { 0 };

    const snapshot& current() const { return history.back(); }

    Store::rows_answer answer(const lease_call& call, int nowMs)
    {
        Store::rows_answer result;
        result.outcome = Store::call_outcome::Done;
        result.era = { era };
        result.now = { nowMs };
        if (const auto* write = std::get_if<Store::transaction>(&call))
            apply(*write, nowMs, result);
        result.newest = { current().version };
        const bool showsRow = std::holds_alternative<Store::range>(call) || result.outcome == Store::call_outcome::ConditionFailed;
        if (current().row && showsRow)
            result.rows.push_back(*current().row);
        return result;
    }

    void apply(const Store::transaction& write, int nowMs, Store::rows_answer& result)
    {
        const uint64_t rowVersion = current().row ? current().row->version.value : 0;
        if (write.conditions.front().version.value != rowVersion) {
            result.outcome = Store::call_outcome::ConditionFailed;
            return;
        }
        const uint64_t version = current().version + 1;
        history.push_back({ nowMs, Store::row { leaseRow(), write.writes.front().value, { version }, false }, version });
    }

    /// Returns to the state of a time; other tables' transactions have taken some versions since.
    void restore(int ms, uint64_t otherTransactions)
    {
        while (history.size() > 1 && current().ms > ms)
            history.pop_back();
        snapshot restored = current();
        restored.version += otherTransactions;
        history.push_back(restored);
        ++era;
    }
};

constexpr size_t nodeCount = 3;
constexpr int stepMs = 100;
constexpr int durationMs = 16000;
/// An order arrives at any time from its start to the time limit of its call.
constexpr int callTimeLimitMs = 1200;
constexpr int leaseMs = 3000;

struct period {
    size_t node { 0 };
    int startMs { 0 };
    int lengthMs { 0 };

    bool covers(size_t other, int nowMs) const { return node == other && nowMs >= startMs && nowMs < startMs + lengthMs; }
};

enum class cut_calls {
    NotPerformed,
    Performed, ///< The store performs them; the answer is lost.
    PerformedLate, ///< Likewise, after `lateMs`.
};

constexpr int lateMs = 2500;

struct scenario {
    int restoreMs { 0 };
    int copyAgeMs { 0 };
    int secondRestoreMs { 0 }; ///< After the first one; zero: none.
    uint64_t otherTransactions { 0 };
    period cut;
    cut_calls cutCalls { cut_calls::NotPerformed };
    period pause;
};

struct sent_order {
    size_t node;
    uint64_t fence;
    int sentAt;
};

/// @return the rule that the last order breaks; empty if none.
std::string findBreach(const std::vector<sent_order>& orders)
{
    const sent_order& last = orders.back();
    bool hasOtherBetween = false;
    for (auto earlier = orders.rbegin() + 1; earlier != orders.rend(); ++earlier) {
        if (earlier->node == last.node) {
            if (hasOtherBetween && last.sentAt - earlier->sentAt < leaseMs)
                return "a holder returned within the lease time";
            if (earlier->fence > last.fence)
                return "a holder's token went back";
            continue;
        }
        hasOtherBetween = true;
        if (earlier->fence == last.fence)
            return "two holders used one token";
        if (earlier->fence > last.fence)
            return "an order with an older token was sent later";
        if (earlier->sentAt + callTimeLimitMs > last.sentAt)
            return "an earlier holder's order may arrive after that of its successor";
    }
    return {};
}

struct era_play {
    struct late_write {
        lease_call call;
        int performedAt { 0 };
    };

    scenario item;
    restorable_store store {};
    std::array<lease_state, nodeCount> nodes { makeNode("a", 100), makeNode("b", 200), makeNode("c", 300) };
    std::vector<late_write> lateWrites {};
    std::vector<sent_order> orders {};
    size_t holders { 0 };

    Store::rows_answer callStore(size_t node, const lease_call& call, int now)
    {
        if (!item.cut.covers(node, now))
            return store.answer(call, now);
        if (item.cutCalls == cut_calls::Performed)
            store.answer(call, now);
        if (item.cutCalls == cut_calls::PerformedLate)
            lateWrites.push_back({ call, now + lateMs });
        return {};
    }

    void stepStore(int now)
    {
        if (now == item.restoreMs || (item.secondRestoreMs > 0 && now == item.restoreMs + item.secondRestoreMs))
            store.restore(now - item.copyAgeMs, item.otherTransactions);
        for (const late_write& write : lateWrites) {
            if (write.performedAt == now)
                store.answer(write.call, now);
        }
    }

    void stepNode(size_t node, int now)
    {
        while (const auto call = nextCall(nodes[node], at(now)))
            handleAnswer(nodes[node], callStore(node, *call, now), at(now));
        if (!mayAct(nodes[node], at(now)))
            return;
        holders += orders.empty() || orders.back().node != node ? 1 : 0;
        orders.push_back({ node, nodes[node].fence.value, now });
    }

    /// @return the first breach; empty if there is none.
    std::string play()
    {
        for (size_t node = 0; node < nodeCount; ++node)
            nodes[node].nextCall = at(static_cast<int>(node) * 3 * stepMs);
        for (int now = 0; now < durationMs; now += stepMs) {
            stepStore(now);
            for (size_t node = 0; node < nodeCount; ++node) {
                const size_t known = orders.size();
                if (!item.pause.covers(node, now))
                    stepNode(node, now);
                const std::string breach = orders.size() > known ? findBreach(orders) : "";
                if (!breach.empty())
                    return breach + " at " + std::to_string(now);
            }
        }
        return {};
    }
};

/// Plays the scenario and checks that no rule is broken and that a node acts at the end.
/// @return the number of holders one after another.
size_t checkPlay(const scenario& item)
{
    era_play game { item };
    const std::string breach = game.play();
    const std::string text = "restore " + std::to_string(item.restoreMs) + " age " + std::to_string(item.copyAgeMs) + " second " + std::to_string(item.secondRestoreMs) + " others " + std::to_string(item.otherTransactions) + " cut " + std::to_string(item.cut.node) + "@" + std::to_string(item.cut.startMs) + "+" + std::to_string(item.cut.lengthMs) + " calls " + std::to_string(static_cast<int>(item.cutCalls)) + " pause " + std::to_string(item.pause.node) + "@" + std::to_string(item.pause.startMs) + "+" + std::to_string(item.pause.lengthMs);
    CHECK_EQUAL_TEXT(std::string(), breach, text.c_str());
    CHECK_TEXT(!game.orders.empty() && game.orders.back().sentAt > durationMs - 1500, text.c_str());
    return game.holders;
}

} // namespace

TEST_GROUP(LeaseEra) {};

TEST(LeaseEra, TheTokenRisesOverARestoreAndTheHolderGoesOn)
{
    restorable_store store;
    lease_state node = makeNode("a", 100);
    const auto callAll = [&](int now) {
        while (const auto call = nextCall(node, at(now)))
            handleAnswer(node, store.answer(*call, now), at(now));
    };
    for (int now = 0; now <= 5000; now += stepMs)
        callAll(now);
    const uint64_t fence = node.fence.value;
    CHECK(fence > 12);
    store.restore(1000, 0);
    beginEra(node, { 1 }, at(5100));
    CHECK(!mayAct(node, at(5100)));
    callAll(5100);
    CHECK(mayAct(node, at(5100)));
    CHECK(node.fence.value > fence);
}

TEST(LeaseEra, ARecordOfAnEarlierEraIsNoLeaseForTheNodeThatWroteIt)
{
    for (const bool isAnsweredInTheNewEra : { false, true }) {
        restorable_store store;
        lease_state node = makeNode("a", 100);
        handleAnswer(node, store.answer(*nextCall(node, at(0)), 0), at(0));
        handleAnswer(node, store.answer(*nextCall(node, at(0)), 0), at(0));
        CHECK(mayAct(node, at(0)));
        const auto renewal = nextCall(node, at(1200));
        if (isAnsweredInTheNewEra)
            store.restore(1200, 0);
        handleAnswer(node, store.answer(*renewal, 1200), at(1200));
        if (!isAnsweredInTheNewEra)
            store.restore(1200, 0);
        beginEra(node, { 1 }, at(1500));
        CHECK(!mayAct(node, at(1500)));
        const auto read = nextCall(node, at(1500));
        CHECK(std::holds_alternative<Store::range>(*read));
        handleAnswer(node, store.answer(*read, 1500), at(1500));
        CHECK(!mayAct(node, at(1500)));
        const auto claim = nextCall(node, at(1500));
        handleAnswer(node, store.answer(*claim, 1500), at(1500));
        CHECK(mayAct(node, at(1500)));
        CHECK(node.fence.value > makeFence({ 1 }, {}).value);
    }
}

TEST(LeaseEra, AWriteByANodeThatDoesNotKnowTheEraBeginsTheWaitAnew)
{
    restorable_store store;
    lease_state first = makeNode("a", 100);
    handleAnswer(first, store.answer(*nextCall(first, at(0)), 0), at(0));
    handleAnswer(first, store.answer(*nextCall(first, at(0)), 0), at(0));
    const auto lateRenewal = nextCall(first, at(1200));
    store.restore(1200, 0);
    lease_state second = makeNode("b", 200);
    const int writtenAt = 4500;
    int now = 1300;
    for (; !mayAct(second, at(now)) && now < durationMs; now += stepMs) {
        if (now == writtenAt)
            store.answer(*lateRenewal, now);
        while (const auto call = nextCall(second, at(now)))
            handleAnswer(second, store.answer(*call, now), at(now));
    }
    CHECK(now > writtenAt + leaseMs);
    CHECK(now < durationMs);
}

TEST(LeaseEra, TokensOfALaterEraAreHigherWithinTheirBounds)
{
    constexpr uint64_t maxVersion = (uint64_t { 1 } << 40) - 1;
    constexpr uint64_t maxEra = (uint64_t { 1 } << 13) - 1;
    CHECK_EQUAL(17, makeFence({ 0 }, { 17 }).value);
    CHECK(makeFence({ 1 }, { 1 }) > makeFence({ 0 }, { maxVersion }));
    CHECK(makeFence({ 8 }, { 0 }) > makeFence({ 7 }, { maxVersion }));
    CHECK(makeFence({ maxEra }, { maxVersion }).value < uint64_t { 1 } << 53);
}

TEST(LeaseEra, OrdersOfThreeNodesKeepTheRulesThroughRestoresCutsAndPauses)
{
    size_t plays = 0;
    size_t holders = 0;
    for (const int restoreMs : { 2500, 3000, 5600 }) {
        for (const int copyAgeMs : { 200, 1500, 2400, 6000 }) {
            for (const int secondRestoreMs : { 0, 900, 3900 }) {
                for (const uint64_t otherTransactions : { 0, 1, 2 }) {
                    for (const size_t cutNode : { 0, 1 }) {
                        for (const int cutStart : { 1100, 2400, 3500 }) {
                            for (const int cutLength : { 0, 1500, 5000 }) {
                                for (const cut_calls calls : { cut_calls::NotPerformed, cut_calls::Performed, cut_calls::PerformedLate }) {
                                    for (const period& pause : { period {}, period { 0, 2600, 4000 }, period { 1, 3100, 4000 }, period { 2, 3100, 3000 } }) {
                                        holders += checkPlay({ restoreMs, copyAgeMs, secondRestoreMs, otherTransactions, { cutNode, cutStart, cutLength }, calls, pause });
                                        ++plays;
                                    }
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
