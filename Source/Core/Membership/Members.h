#pragma once

/// @file
/// Failure detection and dissemination of members: each node probes the peers that the overlay links it to, and
/// forwards each new fact (a changed member record) once to these peers.
/// Reads no clock and opens no socket.

#include "Membership/Overlay.h"

#include "Common/Random.h"

#include <string>
#include <variant>
#include <vector>

namespace Membership {

/// A probe from another node, or its reply to a probe.
struct probe_received {
    Common::node_id from;
    std::string fromAddress;
    Common::incarnation_number incarnation;
    uint64_t sequence { 0 };
    uint64_t digest { 0 }; ///< Digest of the sender's member table.
    Common::config_version configuration;
    bool isReply { false };
};

/// Member records from a peer.
struct member_records_received {
    Common::node_id from;
    std::vector<member> members;
};

/// A peer requests the whole member table.
struct pull_requested {
    std::string fromAddress;
};

/// Peer addresses from the settings or the cloud's list, which are probed while this node is linked to no member.
struct seeds_changed {
    std::vector<std::string> peerAddresses;
};

/// This node applied another version of the configuration.
struct configuration_changed {
    Common::config_version version;
};

/// This node starts to leave the fleet.
struct leave_started { };

/// Sent at short, regular intervals; times out silent peers and starts the probes that are due.
struct membership_tick { };

using membership_message = std::variant<probe_received, member_records_received, pull_requested, seeds_changed, configuration_changed, leave_started, membership_tick>;

struct send_probe {
    std::string address;
    uint64_t sequence { 0 };
    uint64_t digest { 0 };
    Common::config_version configuration;
    bool isReply { false };
};

struct send_facts {
    std::string address;
    std::vector<member> members;
};

struct send_pull {
    std::string address;
};

/// The member table changed; hand it to the other duties.
struct publish_members {
    member_map members;
};

/// A peer has a newer configuration.
struct newer_configuration_seen {
    Common::config_version version;
};

/// One change of a member's status, for logs.
struct member_changed {
    member item;
};

using membership_action = std::variant<send_probe, send_facts, send_pull, publish_members, newer_configuration_seen, member_changed>;

struct membership_settings {
    std::chrono::milliseconds probeInterval { 1000 };
    std::chrono::milliseconds suspectAfter { 3500 }; ///< Silence of a linked peer until it is suspect.
    std::chrono::milliseconds deadAfter { 5000 }; ///< Time as a suspect, without refutation, until a member is dead.
    std::chrono::seconds deadRetention { 7200 }; ///< Dead members are probed this long, to detect the end of a partition.
    int64_t maxMembersAtBaseInterval { 200 }; ///< Above it, intervals grow in proportion to the members.
    uint32_t mismatchesBeforePull { 3 }; ///< Consecutive probes or replies with another digest.
};

/// A peer that this node probes.
struct peer_link {
    Common::instant lastReceivedAt;
    uint32_t mismatches { 0 }; ///< Consecutive probes or replies with another digest.
};

struct membership_state {
    membership_settings settings;
    member self;
    member_map members; ///< All members except this node, including dead ones until deadRetention has passed.
    std::map<Common::node_id, peer_link> links;
    /// Time of each member's last change, or of the end of this node's last pause if that was later.
    std::map<Common::node_id, Common::instant> statusSince;
    std::vector<std::string> seeds;
    Common::config_version configuration; ///< The version that this node has applied.
    Common::random_source random { 1 };
    Common::instant nextProbe;
    Common::instant lastTick;
    uint64_t lastSequence { 0 };
};

/// Processes one event.
/// @param state this node's view of the members; changed in place.
/// @param message the event.
/// @param now the current time.
/// @return the actions to perform, in order.
std::vector<membership_action> stepMembership(membership_state& state, membership_message&& message, Common::instant now);

/// @param state this node's view of the members.
/// @return a digest that is equal on nodes with the same table; dead members are left out.
uint64_t digestMembers(const membership_state& state);

} // namespace Membership
