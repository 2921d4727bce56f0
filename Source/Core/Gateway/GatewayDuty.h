#pragma once

/// @file
/// The gateway duty: the thread that accepts callers' requests, places them at endpoints and forwards the responses
/// without interpreting their content.

#include "Fleet/NodeFacts.h"
#include "Gateway/Messages.h"
#include "Gateway/WireFormat.h"

#include <functional>
#include <memory>

namespace Gateway {

/// Receivers of the duty's reports. They are called on its thread and must not block.
struct gateway_outlets {
    std::function<void(interval_report&&)> report; ///< Called once per report interval.
    std::function<void(attempt_report&&)> reportAttempt; ///< Only for services with a rollout; may be empty.
    /// The node leaves, and every later response closes its connection; may be empty.
    std::function<void()> leaveStarted;
    /// A leaving node takes no more requests; may be empty.
    std::function<void()> stoppedAccepting {};
    /// Nothing that a leaving node has read is unanswered, or its time is over; may be empty.
    std::function<void()> leaveEnded {};
    /// Tells other nodes about fingerprints; may be empty.
    std::function<void(std::vector<Quarantine::outgoing_statement>&&)> sendQuarantineStatements;
    /// Writes to the store what is quarantined; may be empty.
    std::function<void(std::vector<Quarantine::stored_quarantine>&&)> storeQuarantines {};
    /// An endpoint said for the first time, in a response, that it is leaving; may be empty.
    std::function<void(const Common::endpoint_id&, Fleet::start_time)> endpointLeaving {};
    /// Sends other nodes what concerns the limits of endpoints; may be empty.
    std::function<void(std::vector<EndpointLimits::outgoing_message>&&)> sendEndpointLimits {};
    /// Connections are accepted and a catalog is in force, so requests are served; may be empty.
    std::function<void()> servingStarted {};
    /// Sends other nodes what concerns the leases of accounts; may be empty.
    std::function<void(std::vector<Quota::outgoing_lease>&&)> sendLeases {};
};

struct gateway_settings {
    Fleet::node_facts facts;
    Common::incarnation_number incarnation;
    wire_format wire;
    uint64_t seed { 1 };
    std::chrono::milliseconds addressLife { 1000 }; ///< How long callers may use an answer of the directory.
};

class gateway_duty {
public:
    gateway_duty(gateway_settings settings, gateway_outlets outlets);
    ~gateway_duty();
    gateway_duty(const gateway_duty&) = delete;
    gateway_duty& operator=(const gateway_duty&) = delete;

    /// Queues a message; may be called from any thread.
    /// @return false if the inbox ring is full.
    bool submit(gateway_message&& message);
    /// Serves requests until stop(). Throws std::exception if the listen address can't be bound.
    void run();
    /// Ends run(); may be called from any thread.
    void stop();
    /// @return requests in progress; may be called from any thread.
    size_t inFlight() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Gateway
