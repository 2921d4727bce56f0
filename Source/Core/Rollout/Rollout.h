#pragma once

/// @file
/// The decisions of the rollout duty. Every node makes the same ones: the traffic share of a new version follows from
/// the configuration, the clock and the evidence pooled from all nodes. A node that finds the version bad latches it: the
/// share drops to zero for good, and the latch is broadcast to all nodes. Only the end of a rollout (taken over or
/// taken back) is written to the configuration's version chain. No clock, no socket.

#include "Configuration/Model.h"
#include "Rollout/AttemptCounter.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Rollout {

/// Identifies a rollout by the service and its new version.
struct rollout_key {
    std::string service;
    Common::version_name version;

    friend auto operator<=>(const rollout_key&, const rollout_key&) = default;
};

struct configuration_changed {
    std::shared_ptr<const Configuration::configuration> config;
};

/// All that a peer has counted for a rollout so far; replaces the peer's earlier evidence.
struct peer_evidence {
    Common::node_id node;
    rollout_key key;
    class_evidence counts;
};

/// A peer has found the version bad.
struct peer_latch {
    rollout_key key;
    std::string cause;
};

/// The number of alive nodes changed; the limit of unanswered attempts is divided by it.
struct node_count_changed {
    size_t nodes { 1 }; ///< This node included.
};

/// Versions with at least one endpoint that takes requests, by service.
using ready_versions = std::map<std::string, std::set<Common::version_name>>;

/// Endpoints have come, left or begun to leave.
struct ready_versions_changed {
    ready_versions ready;
};

struct rollout_tick { };

using rollout_message = std::variant<configuration_changed, attempt_observed, peer_evidence, peer_latch, node_count_changed, ready_versions_changed, rollout_tick>;

/// Traffic shares in thousandths, by version. A version that is not listed receives the remaining traffic.
using version_shares = std::map<Common::version_name, uint32_t>;

struct publish_shares {
    std::string service;
    Common::version_name current; ///< When set, the version that receives the remaining traffic.
    version_shares shares;
};

/// Broadcast this node's evidence to the peers.
struct broadcast_evidence {
    rollout_key key;
    class_evidence counts;
};

/// Broadcast to the peers that the version is latched as bad.
struct broadcast_latch {
    rollout_key key;
    std::string cause;
};

/// Record the end of the rollout in the configuration.
struct propose_end {
    Configuration::endpoint_version version;
    std::string cause;
};

using rollout_action = std::variant<publish_shares, broadcast_evidence, broadcast_latch, propose_end>;

struct active_rollout {
    Configuration::endpoint_version version;
    attempt_counter own; ///< Counted by this node.
    std::map<Common::node_id, class_evidence> peers; ///< The latest evidence of each peer.
    /// Latencies of the new version, all classes, when it was last shown to be as quick.
    latency_counts shownQuick {};
    uint64_t shownQuickBegun { 0 }; ///< Attempts at the new version that had begun by then.
    bool isPaused { false }; ///< Gets no attempts until those that have begun show whether it is as quick.
    size_t stage { 0 }; ///< Index into rollout_settings::stages.
    bool isLatched { false };
    std::string cause; ///< Why it is latched.
    Common::wall_time nextProposal; ///< Earliest time of the next proposal to end the rollout.
    /// Since when it is the only version of its service that has ready endpoints; not set while it isn't.
    std::optional<Common::wall_time> aloneSince {};
};

struct rollout_stage {
    uint32_t share; ///< Thousandths of the traffic.
    uint32_t maxShare; ///< Thousandths; the share is raised up to this when low traffic yields too little evidence.
    uint64_t requiredEnded; ///< Attempts at the new version that must have ended before the next stage.
};

struct rollout_settings {
    std::vector<rollout_stage> stages {
        { 10, 50, 20 },
        { 50, 150, 60 },
        { 200, 300, 150 },
        { 500, 500, 300 },
    };
    /// Share of the planned time after which a version that has passed all stages takes over.
    double takeOverTimeShare { 0.8 };
    /// When above zero, a proven version first gets all traffic, and the end of the rollout is proposed only after this
    /// share of the planned time. Needed where the endpoints of the previous version are removed when the rollout ends:
    /// no request may be running on them by then.
    double endTimeShare { 0 };
    /// Whether a version must be shown to be as quick as the one before it. Needs attempts that report first events.
    bool comparesLatencies { false };
    /// Attempts at the new version after which it pauses unless they show that it is as quick.
    uint64_t maxUnshownAttempts { 75 };
    /// Attempts that the new version may get in addition to its stage's share, so that low traffic yields evidence.
    double additionalAttempts { 0 };
    /// Thousandths that a proven version gets first when `endTimeShare` is above zero, and the share of the planned time
    /// for that.
    uint32_t rampShare { 300 };
    double rampTimeShare { 0.04 };
    int64_t evidenceIntervalMs { 1000 }; ///< Between broadcasts of evidence and latches.
    int64_t proposalIntervalMs { 5000 }; ///< Between proposals to end the same rollout.
};

struct rollout_state {
    rollout_settings settings;
    std::map<rollout_key, active_rollout> active;
    std::map<rollout_key, std::string> latched; ///< Cause by rollout. Permanent: entries outlive the rollout.
    std::map<std::string, version_shares> published; ///< The shares published last, by service.
    std::map<std::string, Common::version_name> current; ///< The current version, by service.
    size_t nodes { 1 };
    std::optional<ready_versions> ready; ///< Not set: not observed, so that every version is taken to be there.
    Common::wall_time nextEvidence;
};

/// Applies one message to the rollouts.
/// @param state all active rollouts; changed in place.
/// @param message the event.
/// @param now wall-clock time, because deadlines have to stay valid when a process restarts.
/// @return the actions for other duties.
std::vector<rollout_action> stepRollout(rollout_state& state, rollout_message&& message, Common::wall_time now);

/// @param state the rollouts.
/// @param key a rollout.
/// @param end `Current` or `RolledBack`.
/// @return whether the version that serves after this end has ready endpoints. The endpoints of the other one are removed.
bool mayEnd(const rollout_state& state, const rollout_key& key, Configuration::version_state end);

/// @param rollout an active rollout.
/// @return the sum of this node's and all peers' evidence, by class.
class_evidence poolEvidence(const active_rollout& rollout);

} // namespace Rollout
