#pragma once

/// @file
/// Instances of the cloud's list, load reports and the list of usable endpoints.

#include "Common/Ids.h"

#include <memory>
#include <string>
#include <vector>

namespace Endpoints {

enum class instance_role {
    Engine, ///< Runs a model.
    Service, ///< Runs a plain service.
    Entry, ///< Runs this program.
};

/// An instance on the cloud's list.
struct instance_info {
    Common::endpoint_id id;
    instance_role role { instance_role::Engine };
    std::string service; ///< The model or service that it serves.
    Common::version_name version;
    std::string address; ///< IP number and port.
    std::string peerAddress; ///< Only of an entry instance: where other nodes connect.
    Common::zone_name zone;
    Common::region_name region;
    Common::micro_money pricePerHour;
    uint32_t slots { 1 }; ///< Requests that it runs concurrently without queueing.
    bool isReclaimable { true }; ///< The cloud may take it back at short notice.
    bool isLeaving { false };
};

/// The load that an endpoint reports about itself.
struct load_report {
    Common::endpoint_id id;
    uint32_t running { 0 }; ///< Requests.
    uint32_t waiting { 0 }; ///< Requests queued by the endpoint.
    bool isLeaving { false }; ///< As reported by the endpoint itself.
};

/// Who reported that an endpoint accepts no new work.
enum class leaving_source {
    CloudList,
    EndpointItself,
    Peer,
    RefusedConnection,
};

/// The endpoints that accept new work, in order of their ids.
using endpoint_list = std::shared_ptr<const std::vector<instance_info>>;

} // namespace Endpoints
