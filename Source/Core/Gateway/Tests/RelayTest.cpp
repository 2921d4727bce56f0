/// @file
/// Which node relays the requests of one that reaches no endpoint.

#include "Gateway/Relay.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Gateway;

const Common::instant now = Common::instant(std::chrono::hours(1));

struct fleet {
    const char* condition;
    std::vector<size_t> nodes; ///< In each zone; this node is in the first.
    std::vector<size_t> cut; ///< Of those.
    size_t maxTries; ///< Until a node that isn't cut is chosen.
};

gateway_state makeState(const fleet& plan)
{
    gateway_state state;
    state.scheduler.ownLocation = { { "z0" }, { "r0" }, { { { "z0" }, { "r0" } }, { { "z1" }, { "r1" } }, { { "z2" }, { "r2" } } } };
    for (size_t zone = 0; zone < plan.nodes.size(); ++zone) {
        for (size_t node = 0; node < plan.nodes[zone]; ++node)
            state.relayPeers.push_back({ { "z" + std::to_string(zone) + (node < plan.cut[zone] ? "-cut-" : "-") + std::to_string(node) }, "127.0.0.1:1", { "z" + std::to_string(zone) } });
    }
    return state;
}

/// @return the number of nodes that are asked until one isn't cut; zero if there is none.
size_t countTries(gateway_state& state, Common::instant at)
{
    proxied_call call;
    for (size_t tries = 1;; ++tries) {
        const std::optional<relay_peer> peer = chooseRelay(state, call, {}, at);
        if (!peer)
            return 0;
        if (peer->node.value.find("-cut-") == std::string::npos)
            return tries;
        call.triedRelays.insert(peer->node);
        call.currentAttempt.emplace().relayedTo = peer->node;
        recordRelayEnd(state, call, attempt_end::NotSent, at);
    }
}

} // namespace

TEST_GROUP(Relay) {};

TEST(Relay, ANodeThatIsNotCutIsFoundWithinFewTries)
{
    const fleet rows[] = {
        { "nobody else is cut", { 2, 2, 2 }, { 0, 0, 0 }, 1 },
        { "all of the own zone", { 2, 2, 2 }, { 2, 0, 0 }, 3 },
        { "all nodes but one", { 2, 2, 2 }, { 2, 2, 1 }, 6 },
        { "300 nodes, all of the own zone", { 99, 100, 100 }, { 99, 0, 0 }, 3 },
        { "300 nodes, all of two zones", { 99, 100, 100 }, { 99, 100, 0 }, 8 },
    };
    for (const fleet& plan : rows) {
        gateway_state state = makeState(plan);
        const size_t first = countTries(state, now);
        CHECK_TEXT(first > 0 && first <= plan.maxTries, plan.condition);
        const size_t second = countTries(state, now + milliseconds(1000));
        CHECK_TEXT(second > 0 && second <= plan.maxTries, plan.condition);
    }
}

TEST(Relay, TheNearestNodeIsPreferredAndOnlyTheGivenOnesAreAsked)
{
    gateway_state state = makeState({ "", { 2, 2, 2 }, { 0, 0, 0 }, 1 });
    proxied_call call;
    CHECK_EQUAL(std::string("z0"), chooseRelay(state, call, {}, now)->zone.value);
    CHECK_EQUAL(std::string("z2-1"), chooseRelay(state, call, { { "z2-1" } }, now)->node.value);
    call.triedRelays.insert({ "z2-1" });
    CHECK_FALSE(chooseRelay(state, call, { { "z2-1" } }, now).has_value());
}

TEST(Relay, ANodeThatIsSilentIsLeftOutForAWhile)
{
    struct row {
        const char* condition;
        milliseconds waited;
        bool hasHead;
        bool isLeftOut;
    };
    const row rows[] = {
        { "no head within a second", milliseconds(1200), false, true },
        { "the caller gave up sooner", milliseconds(200), false, false },
        { "a response that took long", milliseconds(1200), true, false },
    };
    for (const row& item : rows) {
        gateway_state state = makeState({ "", { 1 }, { 0 }, 1 });
        proxied_call call;
        attempt& current = call.currentAttempt.emplace();
        current.relayedTo = state.relayPeers.front().node;
        current.begun = now - item.waited;
        if (item.hasHead)
            current.headReceived = now;
        recordRelayEnd(state, call, attempt_end::TimedOut, now);
        CHECK_EQUAL_TEXT(!item.isLeftOut, chooseRelay(state, {}, {}, now).has_value(), item.condition);
        CHECK_TEXT(chooseRelay(state, {}, {}, now + milliseconds(3100)).has_value(), item.condition);
    }
}

TEST(Relay, OnlyAResponseThatNamesTheRequestSaysWhatAnotherNodeDid)
{
    struct row {
        const char* condition;
        const char* id;
        int status;
        bool hasNoPath;
        attempt_end end;
    };
    const row rows[] = {
        { "no path", "id7", 503, true, attempt_end::NotSent },
        { "no path, another request", "id6", 503, true, attempt_end::Broken },
        { "no path, no request", "", 503, true, attempt_end::Broken },
        { "refused", "id7", 503, false, attempt_end::Answered },
        { "refused, another request", "id6", 503, false, attempt_end::Broken },
        { "refused, no request", "", 429, false, attempt_end::Broken },
    };
    for (const row& item : rows) {
        proxied_call call;
        call.facts.attemptId = "id7";
        attempt& current = call.currentAttempt.emplace();
        current.status = item.status;
        current.response.attemptId = item.id;
        current.response.hasNoPath = item.hasNoPath;
        CHECK_TEXT(classifyRelayed(call) == item.end, item.condition);
    }
}
