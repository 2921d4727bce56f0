/// @file
/// Membership: overlay links, suspicion and refutation, leaving, pauses of this node.

#include "Membership/Members.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace {

using namespace Membership;
using std::chrono::milliseconds;

const Common::instant testStart = Common::instant {} + std::chrono::hours(1);

member makeMember(const std::string& name, member_status status = member_status::Alive, uint64_t incarnation = 1)
{
    member item;
    item.id = { name };
    item.peerAddress = name + "-address";
    item.incarnation = { incarnation };
    item.status = status;
    return item;
}

membership_state makeState(size_t peers)
{
    membership_state state;
    state.self = makeMember("self");
    state.lastTick = testStart;
    std::vector<member> facts;
    for (size_t index = 0; index < peers; ++index)
        facts.push_back(makeMember("peer" + std::to_string(index)));
    stepMembership(state, member_records_received { { "peer0" }, facts }, testStart);
    return state;
}

template <typename action_type>
size_t count(const std::vector<membership_action>& actions)
{
    size_t found = 0;
    for (const membership_action& action : actions)
        found += std::holds_alternative<action_type>(action) ? 1 : 0;
    return found;
}

/// Ticks every 200 ms, so that no gap counts as a pause of this node.
void tickFor(membership_state& state, milliseconds from, milliseconds until)
{
    constexpr milliseconds tick { 200 };
    for (milliseconds at = from; at <= until; at += tick)
        stepMembership(state, membership_tick {}, testStart + at);
}

} // namespace

TEST_GROUP(Members) {};

TEST(Members, LinksGrowLogarithmicallyAndReachAllNodes)
{
    struct row {
        size_t nodes;
        size_t maxLinks;
        size_t maxHops;
    };
    const row rows[] = { { 1, 0, 0 }, { 2, 1, 1 }, { 7, 3, 3 }, { 50, 6, 6 }, { 400, 9, 9 } };
    for (const row& item : rows) {
        member_map members;
        for (size_t index = 0; index < item.nodes; ++index) {
            const member node = makeMember("n" + std::to_string(index));
            members[node.id] = node;
        }
        std::set<Common::node_id> reached { { "n0" } };
        std::set<Common::node_id> frontier = reached;
        size_t hops = 0;
        while (reached.size() < item.nodes && hops <= item.maxHops) {
            std::set<Common::node_id> next;
            for (const Common::node_id& id : frontier) {
                const auto links = chooseLinks(id, members);
                CHECK(links.size() <= item.maxLinks);
                next.insert(links.begin(), links.end());
            }
            reached.insert(next.begin(), next.end());
            frontier = next;
            ++hops;
        }
        LONGS_EQUAL(item.nodes, reached.size());
        CHECK(hops <= item.maxHops);
    }
}

TEST(Members, PushLinksAreFewAndReachAllNodes)
{
    struct row {
        size_t nodes;
        size_t maxLinks;
        size_t maxHops;
    };
    const row rows[] = { { 7, 3, 3 }, { 50, 2, 16 }, { 400, 3, 24 } };
    for (const row& item : rows) {
        member_map members;
        for (size_t index = 0; index < item.nodes; ++index) {
            const member node = makeMember("n" + std::to_string(index));
            members[node.id] = node;
        }
        std::set<Common::node_id> reached { { "n0" } };
        size_t hops = 0;
        while (reached.size() < item.nodes && hops < item.maxHops) {
            std::set<Common::node_id> next = reached;
            for (const Common::node_id& id : reached) {
                const auto links = choosePushLinks(id, members);
                CHECK(links.size() <= item.maxLinks);
                next.insert(links.begin(), links.end());
            }
            reached = next;
            ++hops;
        }
        LONGS_EQUAL(item.nodes, reached.size());
    }
}

TEST(Members, MembersOfALargeFleetAreProbedLessOften)
{
    struct row {
        size_t peers;
        int probesInTwoSeconds;
    };
    const row rows[] = { { 10, 3 }, { 399, 2 } };
    for (const row& item : rows) {
        membership_state state = makeState(item.peers);
        int rounds = 0;
        for (milliseconds at { 0 }; at <= milliseconds(2000); at += milliseconds(200))
            rounds += count<send_probe>(stepMembership(state, membership_tick {}, testStart + at)) > 0 ? 1 : 0;
        LONGS_EQUAL(item.probesInTwoSeconds, rounds);
    }
}

TEST(Members, HigherIncarnationOrLaterStatusOfTheSameIncarnationWins)
{
    struct row {
        member_status known;
        uint64_t knownIncarnation;
        member_status received;
        uint64_t receivedIncarnation;
        member_status expected;
    };
    const row rows[] = {
        { member_status::Alive, 1, member_status::Suspect, 1, member_status::Suspect },
        { member_status::Suspect, 1, member_status::Alive, 1, member_status::Suspect },
        { member_status::Suspect, 1, member_status::Alive, 2, member_status::Alive },
        { member_status::Dead, 2, member_status::Alive, 1, member_status::Dead },
        { member_status::Dead, 1, member_status::Alive, 2, member_status::Alive },
        { member_status::Leaving, 1, member_status::Suspect, 1, member_status::Leaving },
    };
    for (const row& item : rows) {
        membership_state state;
        state.self = makeMember("self");
        stepMembership(state, member_records_received { { "x" }, { makeMember("peer", item.known, item.knownIncarnation) } }, testStart);
        stepMembership(state, member_records_received { { "x" }, { makeMember("peer", item.received, item.receivedIncarnation) } }, testStart);
        CHECK(item.expected == state.members.at({ "peer" }).status);
    }
}

TEST(Members, SilentPeerIsSuspectedBeforeItIsDeclaredDead)
{
    membership_state state = makeState(1);
    tickFor(state, milliseconds(0), milliseconds(3000));
    CHECK(member_status::Alive == state.members.at({ "peer0" }).status);
    tickFor(state, milliseconds(3200), milliseconds(5000));
    CHECK(member_status::Suspect == state.members.at({ "peer0" }).status);
    tickFor(state, milliseconds(5200), milliseconds(9500));
    CHECK(member_status::Dead == state.members.at({ "peer0" }).status);
}

TEST(Members, PausedNodeSuspectsNobodyAfterItsPause)
{
    membership_state state = makeState(3);
    tickFor(state, milliseconds(0), milliseconds(1000));
    tickFor(state, milliseconds(60000), milliseconds(62000));
    for (const auto& [id, item] : state.members)
        CHECK(member_status::Alive == item.status);
}

TEST(Members, ClaimThatThisNodeIsSuspectOrDeadIsRefuted)
{
    struct row {
        member_status claim;
        bool isRefuted;
    };
    const row rows[] = { { member_status::Dead, true }, { member_status::Suspect, true }, { member_status::Alive, false } };
    for (const row& item : rows) {
        membership_state state = makeState(2);
        const auto actions = stepMembership(state, member_records_received { { "peer0" }, { makeMember("self", item.claim) } }, testStart);
        LONGS_EQUAL(item.isRefuted ? 2 : 1, state.self.incarnation.value);
        CHECK_EQUAL(item.isRefuted, count<send_facts>(actions) > 0);
    }
}

TEST(Members, FactIsForwardedOnceAndNotToItsSender)
{
    membership_state state = makeState(2);
    const member joined = makeMember("newcomer");
    const auto first = stepMembership(state, member_records_received { { "peer0" }, { joined } }, testStart);
    CHECK(count<send_facts>(first) >= 1);
    for (const membership_action& action : first) {
        if (const auto* sent = std::get_if<send_facts>(&action))
            CHECK(sent->address != "peer0-address");
    }
    const auto second = stepMembership(state, member_records_received { { "peer1" }, { joined } }, testStart);
    LONGS_EQUAL(0, count<send_facts>(second));
}

TEST(Members, ProbeFromANodeDeclaredDeadIsAnsweredWithTheMemberTable)
{
    membership_state state = makeState(2);
    stepMembership(state, member_records_received { { "peer1" }, { makeMember("peer0", member_status::Dead) } }, testStart);
    probe_received probe;
    probe.from = { "peer0" };
    probe.fromAddress = "peer0-address";
    probe.incarnation = { 1 };
    const auto actions = stepMembership(state, std::move(probe), testStart);
    LONGS_EQUAL(1, count<send_facts>(actions));
}

TEST(Members, DeadMemberIsProbedSoThatTheEndOfAPartitionIsDetected)
{
    membership_state state = makeState(1);
    stepMembership(state, member_records_received { { "x" }, { makeMember("peer0", member_status::Dead) } }, testStart);
    const auto actions = stepMembership(state, membership_tick {}, testStart);
    LONGS_EQUAL(1, count<send_probe>(actions));
}

TEST(Members, LeavingNodeIsNotChosenAsPeer)
{
    member_map members;
    for (const char* name : { "a", "b", "c" })
        members[{ name }] = makeMember(name);
    members[{ "b" }].status = member_status::Leaving;
    std::set<std::string> chosen;
    for (size_t rank = 0; rank < 3; ++rank)
        chosen.insert(choosePeer(members, { "a" }, "request", rank).value);
    CHECK(chosen == std::set<std::string>({ "", "c" }));
}
