#pragma once

/// @file
/// The control duty: the thread that follows the platform's store, keeps this node in it, and does what one node at a
/// time has to do: usage reports, orders of endpoints, ends of rollouts.

#include "Control/PlatformCalls.h"
#include "Fleet/Directory.h"
#include "Fleet/NodeFacts.h"
#include "Gateway/GatewayDuty.h"
#include "Rollout/Rollout.h"

#include <functional>
#include <memory>
#include <variant>

namespace Control {

/// What the gateway has seen in an interval.
struct interval_seen {
    Gateway::interval_report report;
};

/// What another node was asked for.
struct demand_heard {
    Scaling::node_demand demand;
};

/// A peer, or an endpoint itself, says that an endpoint leaves.
struct leaving_heard {
    Common::endpoint_id endpoint;
    Fleet::start_time started;
};

/// A peer knows a newer catalog.
struct newer_catalog_heard {
    uint64_t version { 0 };
};

/// A peer gives the catalog in the platform's form.
struct catalog_text_heard {
    uint64_t version { 0 };
    std::string text;
};

/// A peer asks for the catalog, if it is newer than a version.
struct catalog_asked {
    Common::node_id peer;
    uint64_t after { 0 };
};

/// Nodes that the peers have long found dead.
struct dead_nodes_known {
    std::set<Common::node_id> nodes;
};

/// This node begins to leave.
struct leave_begun { };

/// This node has left: its row goes.
struct leave_ended { };

/// The settings were read again.
struct settings_changed {
    Fleet::node_facts facts;
};

using control_message = std::variant<interval_seen, demand_heard, leaving_heard, newer_catalog_heard, catalog_text_heard, catalog_asked, dead_nodes_known, leave_begun, leave_ended, settings_changed, Gateway::attempt_seen, Rollout::peer_evidence, Rollout::peer_latch>;

/// Where the duty's findings go. None of the functions may block.
struct control_outlets {
    std::function<void(Gateway::gateway_message&&)> tellGateway;
    /// All registered nodes, this one included.
    std::function<void(const Fleet::node_map&)> publishNodes;
    std::function<void(const Fleet::endpoint&)> tellPeersLeaving;
    std::function<void(uint64_t catalogVersion)> tellPeersCatalog;
    std::function<void(uint64_t after)> askPeersCatalog;
    std::function<void(const Common::node_id& peer, uint64_t version, std::string text)> givePeerCatalog;
    std::function<void(const Rollout::tell_evidence&)> tellPeersEvidence;
    std::function<void(const Rollout::tell_latch&)> tellPeersLatch;
};

struct control_settings {
    Fleet::node_facts facts;
    Fleet::node_entry self;
    platform_calls calls;
    uint64_t seed { 1 };
};

class control_duty {
public:
    control_duty(control_settings settings, control_outlets outlets);
    ~control_duty();
    control_duty(const control_duty&) = delete;
    control_duty& operator=(const control_duty&) = delete;

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(control_message&& message);
    /// Serves until stop().
    void run();
    /// Ends run(); may be called from any thread.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Control
