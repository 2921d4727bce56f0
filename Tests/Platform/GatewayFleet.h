#pragma once

/// @file
/// Several gateways of one cluster between raw callers and shared scripted endpoints: what one gateway tells the others
/// reaches them at once.

#include "Platform/RunningGateway.h"

#include <functional>
#include <mutex>

namespace PlatformTests {

class gateway_fleet {
public:
    /// @param nodeCount number of gateways.
    /// @param scripts one endpoint of the test catalog's service for each script.
    gateway_fleet(size_t nodeCount, const std::vector<std::vector<scripted_answer>>& scripts);
    ~gateway_fleet();
    gateway_fleet(const gateway_fleet&) = delete;
    gateway_fleet& operator=(const gateway_fleet&) = delete;

    /// @return the callers' port of a gateway.
    uint16_t port(size_t node) const;
    /// @return the number of requests with a text that reached any endpoint.
    size_t arrivalsWith(const std::string& text) const;
    /// Sends all gateways the endpoints that haven't gone down, as after a read of the store.
    void sendListing();
    /// Ends gateways and starts them anew with an empty memory.
    void restart(const std::vector<size_t>& nodes);

    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    /// The address at which a node reaches an endpoint; empty: the endpoint's own.
    std::function<std::string(size_t node, size_t endpoint)> addressFor;
    size_t listedCount; ///< Only so many of the endpoints are listed; all at first.

private:
    struct member {
        uint16_t port { 0 };
        std::unique_ptr<Gateway::gateway_duty> duty;
        std::thread thread;
    };

    static Common::node_id idOf(size_t node);
    Fleet::endpoint_map listing(size_t node) const;
    Gateway::relay_peers_update relayPeersOf(size_t node) const;
    void start(size_t node);
    void stop(size_t node);
    void store(const std::vector<Quarantine::stored_quarantine>& changes);
    Gateway::quarantines_read readStored();
    void deliver(size_t from, const EndpointLimits::outgoing_message& item);
    void deliver(size_t from, const Quarantine::outgoing_statement& item);

    std::mutex m_mutex; ///< Guards the duties in m_members against their end, and m_stored.
    std::map<Quarantine::fingerprint, Quarantine::stored_quarantine> m_stored; ///< As in the platform's store.
    std::vector<member> m_members;
};

} // namespace PlatformTests
