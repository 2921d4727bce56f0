#pragma once

/// @file
/// The peer duty: the thread that runs the membership decisions and speaks to the other entry nodes over ZeroMQ.

#include "Common/Ring.h"
#include "Configuration/VersionChain.h"
#include "Dispatch/Messages.h"
#include "Endpoints/EndpointTable.h"
#include "Membership/Members.h"
#include "Quota/Quota.h"
#include "Rollout/Rollout.h"
#include "Scaling/Demand.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Membership {

/// Give changes of the configuration to all linked peers.
struct push_changes {
    std::vector<Configuration::change> changes;
};

/// Ask a linked peer for changes.
struct pull_changes {
    Common::config_version after;
};

/// Answer a peer that asked for changes.
struct give_changes {
    Configuration::answer_peer reply;
};

/// Tell the linked peers that an endpoint leaves.
struct push_leaving {
    Common::endpoint_id endpoint;
    int64_t startedMs { 0 }; ///< Unix time of the endpoint's start; zero when starts are not told apart.
};

/// Tell all peers what this node has granted to client accounts, and what it was asked for.
struct push_grants {
    Quota::node_report report;
    Scaling::node_demand demand;
};

/// Ask a peer for the operators' catalog.
struct pull_catalog {
    uint64_t after { 0 };
};

/// Give a peer the operators' catalog in the platform's form.
struct give_catalog {
    Common::node_id peer;
    uint64_t version { 0 };
    std::string text;
};

/// Tell the linked peers of instances that are new on the cloud's list.
struct push_instances {
    std::vector<Endpoints::instance_info> instances;
};

/// Give a peer the load of endpoints that it routes to.
struct give_loads {
    Common::node_id peer;
    std::vector<Endpoints::load_report> reports;
};

/// Give all peers this node's evidence on a rollout.
struct push_evidence {
    Rollout::tell_evidence evidence;
};

/// Tell the linked peers that a version is bad.
struct push_latch {
    Rollout::tell_latch latch;
};

/// Find a peer that takes over a request.
struct place_transfer {
    Dispatch::request_transfer item;
};

/// Tell a leaving peer that its request is taken.
struct confirm_transfer {
    Common::node_id peer;
    Common::request_id request;
};

/// Ask the peers that may hold a request.
struct find_holder {
    Common::request_id request;
};

/// Tell a peer that the request it looks for is here.
struct confirm_holder {
    Common::node_id peer;
    Common::request_id request;
};

using peer_message = std::variant<seeds_known, configuration_moved, leave_begun, push_changes, pull_changes, give_changes,
    push_leaving, push_instances, give_loads, push_evidence, push_latch, place_transfer, confirm_transfer, find_holder, confirm_holder, push_grants, pull_catalog, give_catalog>;

/// Where the duty's actions go. None of them blocks.
struct peer_outlets {
    std::function<void(const member_map&)> publishMembers;
    std::function<void(Configuration::chain_message&&)> tellConfiguration;
    std::function<void(Endpoints::table_message&&)> tellEndpoints;
    std::function<void(Rollout::rollout_message&&)> tellRollout;
    std::function<void(Dispatch::dispatch_message&&)> tellDispatch;
    std::function<void(const Common::request_id&, const std::string& httpAddress)> located;
    std::function<void(Quota::node_report&&)> grantsHeard;
    std::function<void(Scaling::node_demand&&)> demandHeard;
    std::function<void(const Common::endpoint_id&, int64_t startedMs)> startLeavingHeard;
    std::function<void(const Common::node_id& peer, uint64_t after)> catalogAsked;
    std::function<void(uint64_t version, std::string&& text)> catalogHeard;
};

struct peer_settings {
    member self;
    std::string listenAddress; ///< IP number and port that the socket binds.
    std::vector<std::string> seeds;
    uint64_t seed { 1 };
    membership_settings membership;
};

class peer_duty {
public:
    peer_duty(peer_settings settings, peer_outlets outlets);
    ~peer_duty();
    peer_duty(const peer_duty&) = delete;
    peer_duty& operator=(const peer_duty&) = delete;

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(peer_message&& message);
    /// Serves until stop(). Throws std::exception when the address can't be bound.
    void run();
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Membership
