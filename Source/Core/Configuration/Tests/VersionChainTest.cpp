/// @file
/// The version chain: one accepted change per version, versions only increase, and after a lost reply the row is read
/// back to find out whether it was written.

#include "Configuration/VersionChain.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Configuration;
using Platform::table_outcome;

const Common::instant testStart {};

change makeChange(uint64_t version, const std::string& token, const std::string& name)
{
    change item;
    item.version = { version };
    item.token = token;
    item.kind = change_kind::Class;
    item.subject = name;
    item.body = nlohmann::json { { "name", name }, { "work", "model" }, { "service", "m" } };
    return item;
}

proposal makeProposal(uint64_t operatorToken, const std::string& changeToken, const std::string& name)
{
    return { { operatorToken }, makeChange(0, changeToken, name), {} };
}

template <typename action_type>
const action_type* find(const std::vector<chain_action>& actions)
{
    for (const chain_action& action : actions) {
        if (const auto* found = std::get_if<action_type>(&action))
            return found;
    }
    return nullptr;
}

std::vector<chain_action> step(chain_state& state, chain_message message, std::chrono::seconds at = std::chrono::seconds(0))
{
    return stepChain(state, std::move(message), testStart + at);
}

} // namespace

TEST_GROUP(VersionChain) {};

TEST(VersionChain, AProposalIsAcceptedOnlyWhenItsWriteIsKnownToHaveSucceeded)
{
    struct row {
        table_outcome outcome;
        bool isAnswered;
    };
    const row rows[] = {
        { table_outcome::Done, true },
        { table_outcome::Unknown, false },
        { table_outcome::ConditionFailed, false },
        { table_outcome::Unavailable, false },
    };
    for (const row& item : rows) {
        chain_state state;
        step(state, makeProposal(1, "mine", "a"));
        const auto actions = step(state, write_done { "mine", item.outcome });
        const auto* answer = find<answer_operator>(actions);
        CHECK_EQUAL(item.isAnswered, answer != nullptr);
        CHECK_EQUAL(item.isAnswered, find<publish_configuration>(actions) != nullptr);
        LONGS_EQUAL(item.isAnswered ? 1 : 0, state.current.version.value);
    }
}

TEST(VersionChain, AfterALostReplyAProposalIsAcceptedWhenItsRowIsReadBack)
{
    chain_state state;
    step(state, makeProposal(1, "mine", "a"));
    const auto afterLostReply = step(state, write_done { "mine", table_outcome::Unknown });
    CHECK(find<read_changes>(afterLostReply) != nullptr);
    const auto actions = step(state, rows_read { table_outcome::Done, { makeChange(1, "mine", "a") } });
    const auto* answer = find<answer_operator>(actions);
    CHECK(answer && answer->outcome);
    LONGS_EQUAL(1, state.current.version.value);
}

TEST(VersionChain, AConcurrentChangeIsAConflictOnTheSameObjectAndARetryOnAnother)
{
    struct row {
        const char* otherSubject;
        bool isConflict;
    };
    const row rows[] = { { "a", true }, { "b", false } };
    for (const row& item : rows) {
        chain_state state;
        step(state, makeProposal(1, "mine", "a"));
        step(state, write_done { "mine", table_outcome::ConditionFailed });
        const auto actions = step(state, rows_read { table_outcome::Done, { makeChange(1, "theirs", item.otherSubject) } });
        const auto* answer = find<answer_operator>(actions);
        CHECK_EQUAL(item.isConflict, answer != nullptr);
        if (answer) {
            CHECK(answer->outcome.error().kind == Common::failure_kind::ConfigurationConflict);
            STRCMP_EQUAL("theirs", answer->conflicting.front().token.c_str());
            continue;
        }
        // The other author changed another object: the change is written again with the next version.
        const auto* write = find<write_change>(actions);
        CHECK(write != nullptr);
        LONGS_EQUAL(2, write->item.version.value);
    }
}

TEST(VersionChain, ALateReplyOfAnExpiredProposalDoesNotAcceptTheNextOne)
{
    chain_state state;
    step(state, makeProposal(1, "first", "a"));
    const auto expired = step(state, chain_tick {}, std::chrono::seconds(11));
    CHECK(!find<answer_operator>(expired)->outcome);
    CHECK(find<answer_operator>(expired)->outcome.error().run == Common::run_state::Unknown);
    step(state, makeProposal(2, "second", "b"), std::chrono::seconds(11));
    const auto actions = step(state, write_done { "first", table_outcome::Done }, std::chrono::seconds(11));
    CHECK(find<answer_operator>(actions) == nullptr);
}

TEST(VersionChain, ARowReadBeforeTheReplyOfItsWriteIsNotWrittenAgain)
{
    chain_state state;
    step(state, makeProposal(1, "mine", "a"));
    const auto afterRead = step(state, rows_read { table_outcome::Done, { makeChange(1, "mine", "a") } });
    CHECK(find<answer_operator>(afterRead) != nullptr);
    const auto afterLateReply = step(state, write_done { "mine", table_outcome::Done });
    CHECK(find<write_change>(afterLateReply) == nullptr);
    CHECK(find<answer_operator>(afterLateReply) == nullptr);
    LONGS_EQUAL(1, state.current.version.value);
}

TEST(VersionChain, AProposalBasedOnAnOldVersionConflictsWithLaterChangesOfItsObject)
{
    struct row {
        uint64_t seen;
        const char* subject;
        bool isConflict;
    };
    const row rows[] = { { 1, "a", true }, { 1, "b", false }, { 2, "a", false }, { 0, "a", false } };
    for (const row& item : rows) {
        chain_state state;
        step(state, rows_read { table_outcome::Done, { makeChange(1, "t1", "x"), makeChange(2, "t2", "a") } });
        proposal candidate = makeProposal(1, "mine", item.subject);
        candidate.seenVersion = { item.seen };
        const auto actions = step(state, std::move(candidate));
        CHECK_EQUAL(item.isConflict, find<answer_operator>(actions) != nullptr);
        CHECK_EQUAL(!item.isConflict, find<write_change>(actions) != nullptr);
    }
}

TEST(VersionChain, AProposalWhoseWritesAreRefusedFailsAsNotRun)
{
    chain_state state;
    step(state, makeProposal(1, "mine", "a"));
    for (uint32_t write = 1; write < maxRefusedWrites; ++write) {
        CHECK(find<answer_operator>(step(state, write_done { "mine", table_outcome::Unavailable })) == nullptr);
        CHECK(find<write_change>(step(state, chain_tick {})) != nullptr);
    }
    const auto actions = step(state, write_done { "mine", table_outcome::Unavailable });
    const auto* answer = find<answer_operator>(actions);
    CHECK(answer != nullptr);
    CHECK(answer->outcome.error().run == Common::run_state::NotRun);
}

TEST(VersionChain, AStartingNodeReadsTheSnapshotAndOnlyTheRowsAfterIt)
{
    struct row {
        table_outcome outcome;
        uint64_t snapshotVersion; ///< Zero: none.
        uint64_t readAfter;
    };
    const row rows[] = { { table_outcome::Done, 400, 400 }, { table_outcome::Done, 0, 0 }, { table_outcome::Unavailable, 0, 0 } };
    for (const row& item : rows) {
        chain_state state;
        CHECK(find<read_snapshot>(step(state, chain_tick {})) != nullptr);
        snapshot_read read { item.outcome, std::nullopt };
        if (item.snapshotVersion > 0) {
            read.state = configuration {};
            read.state->version = { item.snapshotVersion };
        }
        const auto actions = step(state, std::move(read));
        LONGS_EQUAL(item.readAfter, find<read_changes>(actions)->after.value);
        LONGS_EQUAL(item.snapshotVersion, state.current.version.value);
    }
}

TEST(VersionChain, TheAuthorOfEveryMultipleOfTheSnapshotIntervalWritesASnapshot)
{
    chain_state state;
    configuration base;
    base.version = { snapshotInterval - 2 };
    step(state, peer_snapshot { base });
    for (const bool isDue : { false, true }) {
        step(state, makeProposal(1, "mine", "a"));
        const auto actions = step(state, write_done { "mine", table_outcome::Done });
        CHECK_EQUAL(isDue, find<write_snapshot>(actions) != nullptr);
    }
}

TEST(VersionChain, OlderSnapshotsAndChangesAreIgnored)
{
    chain_state state;
    step(state, rows_read { table_outcome::Done, { makeChange(1, "t1", "a"), makeChange(2, "t2", "b") } });
    configuration stale;
    stale.version = { 1 };
    const auto afterSnapshot = step(state, peer_snapshot { stale });
    CHECK(find<publish_configuration>(afterSnapshot) == nullptr);
    const auto afterOldChange = step(state, peer_changes { { makeChange(1, "t1", "a") } });
    CHECK(find<publish_configuration>(afterOldChange) == nullptr);
    LONGS_EQUAL(2, state.current.version.value);
}

TEST(VersionChain, ChangesAfterAGapAreNotAppliedButPulledFromPeers)
{
    chain_state state;
    const auto actions = step(state, peer_changes { { makeChange(5, "t5", "e") } });
    CHECK(find<pull_from_peers>(actions) != nullptr);
    LONGS_EQUAL(0, state.current.version.value);
}

TEST(VersionChain, APeerIsSentTheChangesItLacks)
{
    struct row {
        uint64_t after;
        size_t changes;
        bool isSnapshot;
    };
    const row rows[] = { { 1, 1, false }, { 0, 2, false } };
    for (const row& item : rows) {
        chain_state state;
        step(state, rows_read { table_outcome::Done, { makeChange(1, "t1", "a"), makeChange(2, "t2", "b") } });
        const auto actions = step(state, peer_pull { { "peer" }, { item.after } });
        const auto* reply = find<answer_peer>(actions);
        CHECK(reply != nullptr);
        LONGS_EQUAL(item.changes, reply->changes.size());
        CHECK_EQUAL(item.isSnapshot, reply->snapshot != nullptr);
    }
}

TEST(VersionChain, ANodeThatStartedFromASnapshotSendsTheWholeConfiguration)
{
    chain_state state;
    configuration newer;
    newer.version = { 9 };
    step(state, peer_snapshot { newer });
    const auto* reply = find<answer_peer>(step(state, peer_pull { { "peer" }, { 3 } }));
    CHECK(reply == nullptr || reply->snapshot != nullptr);
    CHECK(state.isLoaded);
}
