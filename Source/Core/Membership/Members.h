#pragma once

/// @file
/// The decisions of membership: who is there, by probes over the overlay's links and facts passed on once.
/// No clock, no socket.

#include "Membership/Overlay.h"

#include "Common/Random.h"

#include <string>
#include <variant>
#include <vector>

namespace Membership {

/// Another node's probe or the reply to one.
struct probe_heard {
    Common::node_id from;
    std::string fromAddress;
    Common::incarnation_number incarnation;
    uint64_t sequence { 0 };
    uint64_t digest { 0 }; ///< Of the sender's member table.
    Common::config_version configuration;
    bool isReply { false };
};

struct facts_heard {
    Common::node_id from;
    std::vector<member> members;
};

/// A peer wants the whole table.
struct pull_heard {
    std::string fromAddress;
};

/// Addresses of peers from settings or from the cloud's list, to be asked while no other member is known.
struct seeds_known {
    std::vector<std::string> peerAddresses;
};

struct configuration_moved {
    Common::config_version version;
};

/// This node begins to leave.
struct leave_begun { };

struct membership_tick { };

using membership_message = std::variant<probe_heard, facts_heard, pull_heard, seeds_known, configuration_moved, leave_begun, membership_tick>;

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

/// The member table changed.
struct publish_members {
    member_map members;
};

/// A peer has a newer configuration.
struct peer_ahead {
    Common::config_version version;
};

/// One change of a member's status, for logs.
struct member_changed {
    member item;
};

using membership_action = std::variant<send_probe, send_facts, send_pull, publish_members, peer_ahead, member_changed>;

struct membership_settings {
    std::chrono::milliseconds probeInterval { 1000 };
    std::chrono::milliseconds suspectAfter { 3500 }; ///< Silence of a probed peer.
    std::chrono::milliseconds deadAfter { 5000 }; ///< Suspicion that nobody refutes.
    std::chrono::seconds deadRetention { 7200 }; ///< The dead are remembered, so that a healed cut is noticed.
    int64_t membersPerInterval { 200 }; ///< Above so many members all times stretch with their number.
    uint32_t mismatchesBeforePull { 3 }; ///< Probes in a row with another digest.
};

struct peer_link {
    Common::instant lastHeard;
    uint32_t mismatches { 0 };
};

struct membership_state {
    membership_settings settings;
    member self;
    member_map members; ///< Without this node.
    std::map<Common::node_id, peer_link> links;
    std::map<Common::node_id, Common::instant> statusSince; ///< Of suspects and the dead.
    std::vector<std::string> seeds;
    Common::config_version configuration;
    Common::random_source random { 1 };
    Common::instant nextProbe;
    Common::instant lastTick;
    uint64_t lastSequence { 0 };
};

/// @param state the members as this node knows them; changed in place.
/// @param message what happened.
/// @param now the present time.
/// @return what has to be done, in order.
std::vector<membership_action> stepMembership(membership_state& state, membership_message&& message, Common::instant now);

/// @param state the members.
/// @return a digest that is equal on nodes with the same table.
uint64_t digestMembers(const membership_state& state);

} // namespace Membership
