#pragma once

/// @file
/// The endpoints duty: the thread that polls the cloud's list and the engines' load.

#include "Common/Ring.h"
#include "Endpoints/EndpointTable.h"
#include "Http/Client.h"

#include <atomic>
#include <functional>
#include <set>

namespace Endpoints {

struct endpoints_settings {
    std::string cloudUrl;
    poller self;
    std::chrono::milliseconds listInterval { 1000 };
    std::chrono::milliseconds loadInterval { 500 };
    size_t ringCapacity { 4096 };
};

/// Where the duty's actions go. None of them blocks.
struct endpoints_outlets {
    std::function<void(const publish_endpoints&)> publishEndpoints;
    std::function<void(const load_report&)> publishLoad;
    std::function<void(const Common::endpoint_id&)> tellPeersLeaving;
    std::function<void(const std::vector<instance_info>&)> tellPeersInstances;
    /// Reports of one round for one node.
    std::function<void(const Common::node_id&, const std::vector<load_report>&)> tellPeerLoads;
    std::function<void(const std::vector<instance_info>&)> publishEntries;
};

class endpoints_duty {
public:
    endpoints_duty(endpoints_settings settings, endpoints_outlets outlets);

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(table_message&& message);
    /// Serves until stop().
    void run();
    void stop();

private:
    void pollList();
    void pollLoad(const instance_info& info);
    void pollDue(Common::instant now);
    void dispatch(table_message&& message);
    void perform(const publish_endpoints& action);
    void perform(const publish_load& action);
    void perform(const tell_peers_leaving& action);
    void perform(const tell_peers_instances& action);
    void perform(const tell_peer_load& action);
    void perform(const publish_entries& action);
    void flushPeerLoads();

    endpoints_settings m_settings;
    endpoints_outlets m_outlets;
    Common::ring<table_message> m_inbox;
    Http::client m_client;
    endpoint_table m_table;
    std::map<Common::node_id, std::vector<load_report>> m_loadsForPeers; ///< Gathered until the next round.
    std::set<Common::endpoint_id> m_polling;
    bool m_isListing { false };
    Common::instant m_nextList;
    Common::instant m_nextLoad;
    std::atomic<bool> m_isStopping { false };
};

} // namespace Endpoints
