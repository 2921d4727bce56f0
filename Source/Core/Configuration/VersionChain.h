#pragma once

/// @file
/// The decisions of the configuration duty: a chain of changes in the table service, one row a version.
/// A change is accepted when the conditional write of its row is known to have won. No clock, no socket.

#include "Configuration/Change.h"
#include "Platform/Table.h"

#include <deque>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Configuration {

/// An operator's proposed change.
struct proposal {
    Common::caller_token operatorToken;
    change item;
    Common::config_version seenVersion; ///< The version that the operator decided on.
};

/// What the last write or read-back of the row in flight said.
struct write_done {
    std::string token; ///< Of the change that was written.
    Platform::table_outcome outcome;
};

/// Rows after the version that was asked for.
struct rows_read {
    Platform::table_outcome outcome;
    std::vector<change> changes;
};

/// Changes that a peer knows to be accepted.
struct peer_changes {
    std::vector<change> changes;
};

/// The whole configuration of a peer, for a node far behind.
struct peer_snapshot {
    configuration state;
};

/// The newest snapshot in the table, if there is one.
struct snapshot_read {
    Platform::table_outcome outcome;
    std::optional<configuration> state;
};

/// A peer's probe showed a higher version.
struct peer_is_ahead {
    Common::config_version version;
};

/// A peer asks for what comes after a version.
struct peer_pull {
    Common::node_id peer;
    Common::config_version after;
};

struct chain_tick { };

using chain_message = std::variant<proposal, write_done, rows_read, snapshot_read, peer_changes, peer_snapshot, peer_is_ahead, peer_pull, chain_tick>;

/// Put the change's row if it is absent.
struct write_change {
    change item;
};

/// Read the rows after a version.
struct read_changes {
    Common::config_version after;
};

/// Read the newest snapshot, so that a start does not read the whole chain.
struct read_snapshot { };

/// Keep the whole configuration in the table.
struct write_snapshot {
    std::shared_ptr<const configuration> state;
};

/// Put a new configuration in force on this node.
struct publish_configuration {
    std::shared_ptr<const configuration> state;
};

/// Push accepted changes to the peers.
struct tell_peers {
    std::vector<change> changes;
};

/// Ask a peer for what comes after a version.
struct pull_from_peers {
    Common::config_version after;
};

/// Give a peer the changes it lacks, or the whole configuration when it lacks too many.
struct answer_peer {
    Common::node_id peer;
    std::vector<change> changes;
    std::shared_ptr<const configuration> snapshot;
};

/// Tell an operator how the proposal ended.
struct answer_operator {
    Common::caller_token operatorToken;
    Common::result<change> outcome;
    std::vector<change> conflicting; ///< What others changed meanwhile.
};

using chain_action = std::variant<write_change, read_changes, read_snapshot, write_snapshot, publish_configuration, tell_peers, pull_from_peers, answer_peer, answer_operator>;

enum class chain_phase {
    Idle,
    Writing,
    ReadingBack, ///< The reply of a write was lost: is the row ours?
};

/// A proposal under way.
struct pending_proposal {
    proposal request;
    Common::instant deadline;
    bool mayBeWritten { false }; ///< A write was sent whose effect is not known.
    uint32_t refusedWrites { 0 }; ///< Writes that the store proved not to have taken.
    std::vector<change> seenMeanwhile;
};

struct chain_state {
    configuration current;
    chain_phase phase { chain_phase::Idle };
    std::deque<change> recent; ///< The newest links, for peers that lack a few.
    std::deque<pending_proposal> waiting; ///< The first is the one in flight.
    bool isReading { false };
    Common::instant readingUntil; ///< A reply later than this is taken as lost.
    bool hasReadSnapshot { false };
    bool isLoaded { false }; ///< The table or a peer has been heard once.
    Common::instant nextPoll;
};

constexpr std::chrono::seconds pollInterval { 5 };
constexpr std::chrono::seconds pullInterval { 1 };
constexpr std::chrono::seconds proposalTimeLimit { 10 };
constexpr std::chrono::seconds readTimeLimit { 5 };
/// So many refused writes, a tick apart, end a proposal of which nothing was written.
constexpr uint32_t maxRefusedWrites { 4 };
constexpr size_t maxWaitingProposals { 64 };
constexpr size_t maxRecentChanges { 256 };
/// The author of every such version writes a snapshot.
constexpr uint64_t snapshotInterval { 200 };

/// @param state the chain as this node knows it; changed in place.
/// @param message what happened.
/// @param now the present time.
/// @return what has to be done, in order.
std::vector<chain_action> stepChain(chain_state& state, chain_message&& message, Common::instant now);

} // namespace Configuration
