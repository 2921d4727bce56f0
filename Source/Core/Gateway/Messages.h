#pragma once

/// @file
/// What other duties tell the gateway, and what it tells them.

#include "Catalog/Catalog.h"
#include "Common/Ids.h"
#include "Fleet/EndpointBook.h"
#include "Quota/Quota.h"
#include "Scaling/Demand.h"
#include "Usage/Usage.h"

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

} // namespace Gateway
