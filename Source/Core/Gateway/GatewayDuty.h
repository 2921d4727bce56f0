#pragma once

/// @file
/// The gateway duty: the thread that takes callers' requests, places them at endpoints and passes answers on unread.

#include "Catalog/Catalog.h"
#include "Common/Ring.h"
#include "Fleet/EndpointBook.h"
#include "Fleet/NodeFacts.h"
#include "Gateway/WireFormat.h"
#include "Quota/Quota.h"
#include "Scaling/Demand.h"
#include "Usage/Usage.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace Gateway {

/// A newer catalog is in force.
struct catalog_known {
    Catalog::catalog_pointer catalog;
};

/// All endpoints that are known now.
struct endpoints_known {
    Fleet::endpoint_map endpoints;
};

/// The other nodes that may be serving now.
struct peers_known {
    std::set<Common::node_id> peers;
};

/// What another node has granted to client accounts.
struct grants_heard {
    Quota::node_report report;
};

/// The part of a service's requests that goes to a version that is being rolled out.
struct version_share_known {
    Common::service_name service;
    Common::version_name fresh;
    uint32_t thousandths { 0 };
};

/// This node begins to leave.
struct leave_begun { };

using gateway_message = std::variant<catalog_known, endpoints_known, peers_known, grants_heard, version_share_known, leave_begun>;

/// How an attempt ended, for the judgement of a version.
struct attempt_seen {
    enum class event {
        Begun,
        Good,
        Failed,
        Late,
        Abandoned,
    };

    Common::service_name service;
    Common::version_name version;
    Common::route_name route;
    event what { event::Begun };
};

/// What the gateway has seen since its last report.
struct interval_report {
    std::vector<Usage::begun_request> begun;
    Scaling::node_demand demand;
    Quota::node_report grants;
    size_t inFlight { 0 };
};

/// Where the duty's findings go. None of the functions may block.
struct gateway_outlets {
    std::function<void(interval_report&&)> report;
    std::function<void(attempt_seen&&)> attemptSeen;
};

struct gateway_settings {
    Fleet::node_facts facts;
    Common::incarnation_number incarnation;
    wire_format wire;
    uint64_t seed { 1 };
};

class gateway_duty {
public:
    gateway_duty(gateway_settings settings, gateway_outlets outlets);
    ~gateway_duty();
    gateway_duty(const gateway_duty&) = delete;
    gateway_duty& operator=(const gateway_duty&) = delete;

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(gateway_message&& message);
    /// Serves until stop(). Throws std::exception when the address can't be bound.
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
