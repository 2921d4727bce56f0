#pragma once

/// @file
/// The peer duty: a thread that maintains the membership and exchanges messages with the other entry nodes over ZeroMQ.

#include "Common/DutyInbox.h"
#include "Configuration/VersionChain.h"
#include "Dispatch/Messages.h"
#include "EndpointLimits/SharedLimits.h"
#include "Endpoints/EndpointTable.h"
#include "Membership/Members.h"
#include "Quarantine/RequestQuarantine.h"
#include "Quota/Quota.h"
#include "Rollout/Rollout.h"
#include "Scaling/Demand.h"
#include "Store/TableState.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Membership {

/// Send changes of the configuration to some of the linked peers, which forward them.
struct push_changes {
    std::vector<Configuration::change> changes;
};

/// Request the changes after a version from one linked peer.
struct pull_changes {
    Common::config_version after;
};

/// Reply to a peer that requested changes.
struct reply_changes {
    Configuration::answer_peer reply;
};

/// Notify the linked peers that an endpoint is leaving.
struct push_endpoint_leaving {
    Common::endpoint_id endpoint;
    int64_t startedMs { 0 }; ///< Unix time of the endpoint's start; zero if starts aren't distinguished.
};

/// Send all peers this node's grants to client accounts and the demand that it received.
struct push_grants {
    Quota::node_report report;
    Scaling::node_demand demand;
};

/// Request the operators' catalog from one linked peer, if it has a later version.
struct pull_catalog {
    uint64_t after { 0 }; ///< The catalog version that this node has.
};

/// Send a peer the operators' catalog as the platform's text.
struct reply_catalog {
    Common::node_id peer;
    uint64_t version { 0 };
    std::string text;
};

/// Send some peers changes of the store's tables.
struct push_table_changes {
    std::vector<Common::node_id> receivers;
    std::vector<Store::relayed_changes> tables;
};

/// Ask a peer for the state of a table of the store.
struct pull_table_state {
    Common::node_id peer;
    Store::state_query query;
};

/// Send a peer the state of a table.
struct reply_table_state {
    Common::node_id peer;
    Store::table_state state;
};

/// Send a peer usage counts that it writes to the store for this node.
struct push_usage_counts {
    Common::node_id receiver;
    uint64_t sequence { 0 };
    std::vector<std::pair<std::string, std::string>> rows; ///< Key and value.
};

/// Confirm to a peer that its usage counts are in the store.
struct confirm_usage_counts {
    Common::node_id receiver;
    uint64_t sequence { 0 };
};

/// Send the linked peers the instances that are new on the cloud's list.
struct push_instances {
    std::vector<Endpoints::instance_info> instances;
};

/// Send a peer the load of endpoints that it routes to.
struct send_loads {
    Common::node_id peer;
    std::vector<Endpoints::load_report> reports;
};

/// Send all peers this node's evidence on a rollout.
struct push_evidence {
    Rollout::broadcast_evidence evidence;
};

/// Notify the linked peers that a version of a service was found bad.
struct push_bad_version {
    Rollout::broadcast_latch latch;
};

/// Send peers what this node has found out about fingerprints.
struct push_quarantine_statements {
    std::vector<Quarantine::outgoing_statement> items;
};

/// Send peers what concerns the limits of endpoints.
struct push_endpoint_limits {
    std::vector<EndpointLimits::outgoing_message> items;
};

/// Send peers what concerns the leases of accounts.
struct push_leases {
    std::vector<Quota::outgoing_lease> items;
};

/// Offer a request to a peer, which may take it over.
struct offer_transfer {
    Dispatch::request_transfer item;
};

/// Confirm to a leaving peer that this node has taken over a request.
struct confirm_transfer {
    Common::node_id peer;
    Common::request_id request;
};

/// Ask the peers that may hold a request whether they do.
struct find_holder {
    Common::request_id request;
};

/// Reply to a peer's find_holder that this node holds the request.
struct confirm_holder {
    Common::node_id peer;
    Common::request_id request;
};

using peer_message = std::variant<seeds_changed, configuration_changed, leave_started, push_changes, pull_changes, reply_changes,
    push_endpoint_leaving, push_instances, send_loads, push_evidence, push_bad_version, offer_transfer, confirm_transfer, find_holder, confirm_holder, push_grants, pull_catalog, reply_catalog, push_table_changes, pull_table_state, reply_table_state, push_usage_counts, confirm_usage_counts, push_quarantine_statements, push_endpoint_limits, push_leases>;

/// The messages that tell a state; all others are events.
using peer_inbox = Common::duty_inbox<peer_message, seeds_changed, configuration_changed, leave_started>;

/// Callbacks for what the duty receives and finds. They run on the duty's thread and must not block.
struct peer_outlets {
    std::function<void(const member_map&)> publishMembers;
    std::function<void(Configuration::chain_message&&)> sendToConfiguration;
    std::function<void(Endpoints::table_message&&)> sendToEndpoints;
    std::function<void(Rollout::rollout_message&&)> sendToRollout;
    std::function<void(Dispatch::dispatch_message&&)> sendToDispatch;
    /// A peer replied to find_holder that it holds the request.
    std::function<void(const Common::request_id&, const std::string& httpAddress)> holderLocated;
    std::function<void(Quota::node_report&&)> grantsReceived;
    std::function<void(Scaling::node_demand&&)> demandReceived;
    /// An endpoint is leaving that was started at the given Unix time in milliseconds.
    std::function<void(const Common::endpoint_id&, int64_t startedMs)> startLeavingReceived;
    /// A peer requests the catalog if it is later than the given version.
    std::function<void(const Common::node_id& peer, uint64_t after)> catalogRequested;
    std::function<void(uint64_t version, std::string&& text)> catalogReceived;
    std::function<void(const Common::node_id& peer, std::vector<Store::relayed_changes>&& tables)> tableChangesReceived;
    std::function<void(const Common::node_id& peer, Store::state_query&& query)> tableStateRequested {}; ///< May be empty.
    std::function<void(const Common::node_id& peer, Store::table_state&& state)> tableStateReceived {}; ///< May be empty.
    /// A peer has sent usage counts, as rows with key and value.
    std::function<void(const Common::node_id& peer, uint64_t sequence, std::vector<std::pair<std::string, std::string>>&& rows)> usageCountsReceived;
    std::function<void(uint64_t sequence)> usageCountsConfirmed;
    std::function<void(const Common::node_id& peer, const Quarantine::quarantine_statement&)> quarantineStatementReceived; ///< May be empty.
    std::function<void(const Common::node_id& peer, EndpointLimits::limit_message&&)> endpointLimitReceived; ///< May be empty.
    std::function<void(const Common::node_id& peer, Quota::lease_message&&)> leaseReceived {}; ///< May be empty.
};

struct peer_settings {
    member self;
    std::string listenAddress; ///< IP number and port that the socket binds.
    std::vector<std::string> seeds; ///< Peer addresses that are probed while this node has no links.
    uint64_t seed { 1 }; ///< Of the random source.
    membership_settings membership;
};

/// Owns the sockets and the member table, which only run() uses. submit() and stop() may be called from any thread.
class peer_duty {
public:
    peer_duty(peer_settings settings, peer_outlets outlets);
    ~peer_duty();
    peer_duty(const peer_duty&) = delete;
    peer_duty& operator=(const peer_duty&) = delete;

    /// Queues a message for the duty's thread.
    /// @return false if the inbox ring is full; the message is dropped then.
    bool submit(peer_message&& message);
    /// Runs the duty on the calling thread until stop(). Throws std::exception if the address can't be bound.
    void run();
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Membership
