#pragma once

/// @file
/// The decisions of the rollout duty. Every node runs them alike: the share of a new version follows from the
/// configuration, the clock and the evidence that all nodes pool; badness latches on any node and is told to all.
/// Only the end, taken over or taken back, is written to the configuration's chain. No clock, no socket.

#include "Configuration/Model.h"
#include "Rollout/Judgement.h"

#include <map>
#include <variant>
#include <vector>

namespace Rollout {

using class_evidence = std::map<Common::class_name, comparison>;

/// Which rollout: a service and its new version.
struct rollout_key {
    std::string service;
    Common::version_name version;

    friend auto operator<=>(const rollout_key&, const rollout_key&) = default;
};

struct configuration_seen {
    std::shared_ptr<const Configuration::configuration> config;
};

enum class attempt_event {
    Begun,
    Good,
    Failed,
    Late,
    Abandoned, ///< Ended for a reason that says nothing of the version.
};

/// What this node's dispatch saw of one attempt.
struct attempt_observed {
    std::string service;
    Common::version_name version;
    Common::class_name work;
    attempt_event event { attempt_event::Begun };
};

/// All that a peer has counted of a rollout so far; replaces what it told before.
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

struct nodes_counted {
    size_t nodes { 1 };
};

struct rollout_tick { };

using rollout_message = std::variant<configuration_seen, attempt_observed, peer_evidence, peer_latch, nodes_counted, rollout_tick>;

/// Shares in thousandths, by version; a version that is not listed takes the rest.
using version_shares = std::map<Common::version_name, uint32_t>;

struct publish_shares {
    std::string service;
    Common::version_name current; ///< Takes the rest when set.
    version_shares shares;
};

struct tell_evidence {
    rollout_key key;
    class_evidence counts;
};

struct tell_latch {
    rollout_key key;
    std::string cause;
};

/// Record the end of the rollout in the configuration.
struct propose_end {
    Configuration::endpoint_version version;
    std::string cause;
};

using rollout_action = std::variant<publish_shares, tell_evidence, tell_latch, propose_end>;

struct active_rollout {
    Configuration::endpoint_version version;
    class_evidence own;
    std::map<Common::node_id, class_evidence> peers;
    size_t stage { 0 };
    bool isLatched { false };
    std::string cause;
    Common::wall_time nextProposal;
};

/// One stage of a rollout.
struct rollout_stage {
    uint32_t share; ///< Thousandths of the traffic.
    uint32_t mostShare; ///< Raised up to this when traffic is too thin for the evidence.
    uint64_t neededEnded; ///< Attempts that must have ended without a fault before the next stage.
};

/// How rollouts proceed.
struct rollout_settings {
    std::vector<rollout_stage> stages {
        { 10, 50, 20 },
        { 50, 150, 60 },
        { 200, 300, 150 },
        { 500, 500, 300 },
    };
    /// At this share of the time a version that has passed all stages takes over.
    double takeOverTimeShare { 0.8 };
    /// When set, a proven version first gets all traffic, and its end is proposed at this share of the time: where the
    /// endpoints of the version before end with the rollout, nothing may run on them any more.
    double endTimeShare { 0 };
    int64_t evidenceIntervalMs { 1000 };
    int64_t proposalIntervalMs { 5000 };
};

struct rollout_state {
    rollout_settings settings;
    std::map<rollout_key, active_rollout> active;
    std::map<rollout_key, std::string> latched; ///< Stays after the rollout's end: a latch never opens.
    std::map<std::string, version_shares> published;
    std::map<std::string, Common::version_name> current; ///< By service.
    size_t nodes { 1 };
    Common::wall_time nextEvidence;
};

/// @param state all rollouts under way; changed in place.
/// @param message what happened.
/// @param now wall-clock time, since deadlines outlive processes.
/// @return what other duties have to do.
std::vector<rollout_action> stepRollout(rollout_state& state, rollout_message&& message, Common::wall_time now);

/// @param item a rollout.
/// @return the evidence of all nodes together.
class_evidence poolEvidence(const active_rollout& item);

} // namespace Rollout
