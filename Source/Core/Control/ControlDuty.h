#pragma once

/// @file
/// The control duty: the thread that follows the platform's store, keeps this node registered in it and, while the node
/// holds the lease, does the work of the whole fleet: usage reports, orders of endpoints and the status of rollouts.

#include "Common/DutyInbox.h"
#include "Control/PlatformCalls.h"
#include "Fleet/Directory.h"
#include "Fleet/NodeFacts.h"
#include "Gateway/GatewayDuty.h"
#include "Rollout/Rollout.h"
#include "Store/TableState.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <variant>

namespace Control {

/// The gateway's report of one interval: begun requests and demand.
struct gateway_interval_reported {
    Gateway::interval_report report;
};

/// Demand reported by another node.
struct peer_demand_received {
    Scaling::node_demand demand;
};

/// A peer, or the endpoint itself in a response, reports that an endpoint is leaving.
struct endpoint_leaving_received {
    Common::endpoint_id endpoint;
    Fleet::start_time started;
    const char* source { "peer" }; ///< Of the report, for the log.
};

/// A peer has announced a catalog version that may be newer than this node's.
struct catalog_version_announced {
    uint64_t version { 0 };
};

/// A peer has sent the catalog in the platform's format.
struct catalog_received {
    uint64_t version { 0 };
    std::string text;
};

/// A peer requests the catalog if this node has a newer version than `after`.
struct catalog_requested {
    Common::node_id peer;
    uint64_t after { 0 };
};

/// All nodes that the membership protocol has considered dead for some time.
struct dead_nodes_updated {
    std::set<Common::node_id> nodes;
};

/// A relay of this node's zone has sent changes of the store's tables.
struct table_changes_received {
    Common::node_id from;
    std::vector<Store::relayed_changes> tables;
};

/// A peer asks for the state of a table of the store.
struct table_state_requested {
    Common::node_id from;
    Store::state_query query;
};

/// A peer has sent the state of a table.
struct table_state_received {
    Common::node_id from;
    Store::table_state state;
};

/// A node of this zone has sent its usage counts, to be written to the store.
struct usage_counts_received {
    Common::node_id from;
    uint64_t sequence { 0 };
    std::vector<std::pair<std::string, std::string>> rows; ///< Key and value.
};

/// A relay has written this node's usage counts.
struct usage_counts_confirmed {
    uint64_t sequence { 0 };
};

/// The gateway has quarantined fingerprints or released them.
struct quarantines_changed {
    std::vector<Quarantine::stored_quarantine> changes;
};

/// This node starts to drain.
struct leave_started { };

/// This node has drained: its row in the store is removed.
struct leave_finished { };

/// The settings file was reloaded.
struct settings_reloaded {
    Fleet::node_facts facts;
};

using control_message = std::variant<gateway_interval_reported, peer_demand_received, endpoint_leaving_received, catalog_version_announced, catalog_received, catalog_requested, dead_nodes_updated, table_changes_received, table_state_requested, table_state_received, usage_counts_received, usage_counts_confirmed, quarantines_changed, leave_started, leave_finished, settings_reloaded, Gateway::attempt_report, Rollout::peer_evidence, Rollout::peer_latch>;

/// Peers announce different versions.
inline void replaceState(catalog_version_announced& older, catalog_version_announced newer)
{
    older.version = std::max(older.version, newer.version);
}

/// The messages that tell a state; all others are events.
using control_inbox = Common::duty_inbox<control_message, settings_reloaded, dead_nodes_updated, catalog_version_announced, leave_started, leave_finished>;

/// Outputs of the duty, called on its thread. They must not block.
struct control_outlets {
    std::function<void(Gateway::gateway_message&&)> sendToGateway;
    /// Receives all registered nodes, including this one.
    std::function<void(const Fleet::node_map&)> publishNodes;
    std::function<void(const Fleet::endpoint&)> broadcastLeaving;
    std::function<void(uint64_t catalogVersion)> announceCatalog;
    /// Requests the catalog from peers that have a newer version than `after`.
    std::function<void(uint64_t after)> requestCatalog;
    std::function<void(const Common::node_id& peer, uint64_t version, std::string text)> sendCatalog;
    /// Sends changes of the store's tables to other nodes.
    std::function<void(std::vector<Common::node_id> receivers, std::vector<Store::relayed_changes> tables)> relayChanges;
    /// Asks a peer for the state of a table; may be empty.
    std::function<void(const Common::node_id& peer, const Store::state_query& query)> requestTableState {};
    std::function<void(const Common::node_id& peer, Store::table_state&& state)> sendTableState {};
    /// Sends usage counts, as rows with key and value, to the node that writes them to the store.
    std::function<void(const Common::node_id& relay, uint64_t sequence, std::vector<std::pair<std::string, std::string>> rows)> sendUsageCounts;
    std::function<void(const Common::node_id& node, uint64_t sequence)> confirmUsageCounts;
    std::function<void(const Rollout::broadcast_evidence&)> broadcastEvidence;
    std::function<void(const Rollout::broadcast_latch&)> broadcastLatch;
    /// The store has answered the removal of this node's row; may be empty.
    std::function<void()> ownRowRemoved {};
};

struct control_settings {
    Fleet::node_facts facts;
    Fleet::node_entry self;
    platform_calls calls;
    uint64_t seed { 1 }; ///< Start of the lease nonces; differs between processes.
};

class control_duty {
public:
    control_duty(control_settings settings, control_outlets outlets);
    ~control_duty();
    control_duty(const control_duty&) = delete;
    control_duty& operator=(const control_duty&) = delete;

    /// Queues a message. Thread-safe.
    /// @return false when the ring is full.
    bool submit(control_message&& message);
    /// Runs the duty on the calling thread until stop().
    void run();
    /// Ends run(). Thread-safe.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Control
