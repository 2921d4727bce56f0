#pragma once

/// @file
/// The state machine of the configuration duty. The configuration is a chain of changes in the table service with one
/// row per version. A change is accepted once the conditional write of its row is known to have succeeded.
/// No clock, no sockets.

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
    Common::config_version seenVersion; ///< The version that the operator based it on; zero: this node's current one.
};

/// Outcome of write_change.
struct write_done {
    std::string token; ///< Token of the change that was written.
    Platform::table_outcome outcome;
};

/// Outcome of read_changes: the changes after the requested version, in order.
struct rows_read {
    Platform::table_outcome outcome;
    std::vector<change> changes;
};

/// Accepted changes received from a peer, in order of version.
struct peer_changes {
    std::vector<change> changes;
};

/// A peer's whole configuration, received when this node lacks more changes than the peer keeps.
struct peer_snapshot {
    configuration state;
};

/// Outcome of read_snapshot.
struct snapshot_read {
    Platform::table_outcome outcome;
    std::optional<configuration> state; ///< Empty when there is no snapshot or it cannot be decoded.
};

/// A peer has reported a higher version than this node's.
struct peer_is_ahead {
    Common::config_version version;
};

/// A peer requests the changes after a version.
struct peer_pull {
    Common::node_id peer;
    Common::config_version after;
};

/// Drives timeouts, retries and polling; sent after every batch of messages and at least once per tick interval.
struct chain_tick { };

using chain_message = std::variant<proposal, write_done, rows_read, snapshot_read, peer_changes, peer_snapshot, peer_is_ahead, peer_pull, chain_tick>;

/// Write the change's row on condition that no row with its version exists.
struct write_change {
    change item;
};

/// Read the rows after a version.
struct read_changes {
    Common::config_version after;
};

/// Read the newest snapshot, so that a starting node need not read the whole chain.
struct read_snapshot { };

/// Store the whole configuration in the table.
struct write_snapshot {
    std::shared_ptr<const configuration> state;
};

/// Make a new configuration effective on this node.
struct publish_configuration {
    std::shared_ptr<const configuration> state;
};

/// Send accepted changes to the peers.
struct tell_peers {
    std::vector<change> changes;
};

/// Request the changes after a version from a peer.
struct pull_from_peers {
    Common::config_version after;
};

/// Send a peer the changes it lacks, or the whole configuration when this node no longer keeps all of them.
struct answer_peer {
    Common::node_id peer;
    std::vector<change> changes;
    std::shared_ptr<const configuration> snapshot; ///< Null when the changes are sent.
};

/// Answer an operator's proposal.
struct answer_operator {
    Common::caller_token operatorToken;
    Common::result<change> outcome; ///< The accepted change or the failure.
    std::vector<change> conflicting; ///< Changes by others since the version that the proposal is based on.
};

using chain_action = std::variant<write_change, read_changes, read_snapshot, write_snapshot, publish_configuration, tell_peers, pull_from_peers, answer_peer, answer_operator>;

enum class chain_phase {
    Idle, ///< No write in flight.
    Writing, ///< Waiting for the reply of write_change.
    ReadingBack, ///< The write was refused and is retried, or its effect is unknown and the rows are read back.
};

/// A proposal that is queued or in flight.
struct pending_proposal {
    proposal request;
    Common::instant deadline;
    bool mayBeWritten { false }; ///< The reply of a write was lost, so its row may exist.
    uint32_t refusedWrites { 0 }; ///< Writes that failed and are known to have stored nothing.
    std::vector<change> concurrentChanges; ///< Changes by others since the seen version.
};

struct chain_state {
    configuration current;
    chain_phase phase { chain_phase::Idle };
    std::deque<change> recentChanges; ///< The newest changes, oldest first, for peers that lack a few.
    std::deque<pending_proposal> waiting; ///< The first is the one in flight unless phase is Idle.
    bool isReading { false };
    Common::instant readDeadline; ///< A reply that has not arrived by then is treated as lost.
    bool hasReadSnapshot { false };
    bool isLoaded { false }; ///< The table has been read or a peer has sent a configuration since the start.
    Common::instant nextPoll;
};

/// Interval of reading the table once a configuration is loaded.
constexpr std::chrono::seconds pollInterval { 5 };
/// Interval of reading the table and asking the peers until a configuration is loaded.
constexpr std::chrono::seconds pullInterval { 1 };
/// A proposal that is not decided after this time fails with StoreUnavailable.
constexpr std::chrono::seconds proposalTimeLimit { 10 };
/// A read of rows without a reply after this time is treated as lost and may be repeated.
constexpr std::chrono::seconds readTimeLimit { 5 };
/// A proposal fails with StoreUnavailable after this many refused writes, one per tick, if none of its writes may have
/// been stored.
constexpr uint32_t maxRefusedWrites { 4 };
constexpr size_t maxWaitingProposals { 64 };
/// A peer that lacks more changes than this gets the whole configuration.
constexpr size_t maxRecentChanges { 256 };
/// In versions: the node whose change gets a multiple of this as its version writes a snapshot.
constexpr uint64_t snapshotInterval { 200 };

/// Advances the state machine by one message.
/// @param state this node's state of the chain; changed in place.
/// @param message the event to process.
/// @param now current time.
/// @return the actions to perform, in order.
std::vector<chain_action> stepChain(chain_state& state, chain_message&& message, Common::instant now);

} // namespace Configuration
