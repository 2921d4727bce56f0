#pragma once

/// @file
/// Endpoints as a node knows them.

#include "Common/Ids.h"

#include <memory>
#include <string>
#include <vector>

namespace Endpoints {

enum class instance_role {
    Engine,
    Service,
    Entry,
};

/// One instance of the cloud's list.
struct instance_info {
    Common::endpoint_id id;
    instance_role role { instance_role::Engine };
    std::string service; ///< The model or service that it serves.
    Common::version_name version;
    std::string address; ///< IP number and port.
    std::string peerAddress; ///< Of an entry instance: where its peers reach it.
    Common::zone_name zone;
    Common::region_name region;
    Common::micro_money pricePerHour;
    uint32_t slots { 1 }; ///< Requests that it runs at once without queueing.
    bool isReclaimable { true };
    bool isLeaving { false };
};

/// An engine's own report of its load.
struct load_report {
    Common::endpoint_id id;
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    bool isLeaving { false }; ///< The endpoint's own word.
};

/// Why an endpoint takes no new work.
enum class leaving_source {
    CloudList,
    EndpointItself,
    Peer,
    RefusedConnection,
};

/// The endpoints that may be asked for work, in order of their ids.
using endpoint_list = std::shared_ptr<const std::vector<instance_info>>;

} // namespace Endpoints
