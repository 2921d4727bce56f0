#pragma once

/// @file
/// The endpoints duty: the thread that polls the cloud's list of instances and the endpoints' load.

#include "Common/Ring.h"
#include "Endpoints/EndpointTable.h"
#include "Http/Client.h"

#include <atomic>
#include <functional>
#include <set>

namespace Endpoints {

struct endpoints_settings {
    std::string cloudUrl; ///< Without a path.
    poller self; ///< This node.
    std::chrono::milliseconds listInterval { 1000 }; ///< Between readings of the list by the nodes of a region.
    std::chrono::milliseconds loadInterval { 500 }; ///< Between polls of an endpoint's load; longer in a large fleet.
    size_t ringCapacity { 4096 };
};

/// Receivers of the duty's actions. None of the functions may block.
struct endpoints_outlets {
    std::function<void(const publish_endpoints&)> publishEndpoints;
    std::function<void(const load_report&)> publishLoad;
    std::function<void(const Common::endpoint_id&)> broadcastLeaving;
    std::function<void(const std::vector<instance_info>&)> broadcastInstances;
    /// The load reports gathered for one node since the last round of polls.
    std::function<void(const Common::node_id&, const std::vector<load_report>&)> sendLoads;
    std::function<void(const std::vector<instance_info>&)> publishEntries;
};

class endpoints_duty {
public:
    endpoints_duty(endpoints_settings settings, endpoints_outlets outlets);

    /// Queues a message; may be called from any thread.
    /// @return false when the inbox is full; the message is then left untouched.
    bool submit(table_message&& message);
    /// Polls and handles messages until stop(); blocks the calling thread.
    void run();
    void stop();

private:
    void pollList();
    void pollLoad(const instance_info& info);
    void pollDue(Common::instant now);
    void dispatch(table_message&& message);
    void perform(const publish_endpoints& action);
    void perform(const publish_load& action);
    void perform(const broadcast_leaving& action);
    void perform(const broadcast_instances& action);
    void perform(const send_load& action);
    void perform(const publish_entries& action);
    void flushPeerLoads();

    endpoints_settings m_settings;
    endpoints_outlets m_outlets;
    Common::ring<table_message> m_inbox;
    Http::client m_client;
    endpoint_table m_table;
    std::map<Common::node_id, std::vector<load_report>> m_loadsForPeers; ///< Sent at the next round of polls.
    std::set<Common::endpoint_id> m_pendingPolls; ///< Endpoints whose load has been asked for and not yet received.
    bool m_isListPending { false }; ///< The list has been asked for and not yet received.
    Common::instant m_nextList;
    Common::instant m_nextLoad;
    std::atomic<bool> m_isStopping { false };
};

} // namespace Endpoints
