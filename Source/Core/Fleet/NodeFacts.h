#pragma once

/// @file
/// What the platform tells a node of itself: where it stands, what it may use and which bounds hold.

#include "Common/Ids.h"

#include <map>
#include <set>
#include <string>

namespace Fleet {

using std::chrono::milliseconds;

/// IP number and port of each of a node's listeners; an empty text where it serves none.
struct listen_addresses {
    std::string callers;
    std::string readiness;
    std::string directory;
};

/// What this machine grants the process.
struct machine_limits {
    double coreShare { 1 };
    uint32_t memoryMegabytes { 256 };
    uint32_t fileDescriptors { 1024 };
    double linkMegabitsPerSecond { 1000 };
};

/// The bounds that the system is held to.
struct service_bounds {
    milliseconds drain { 3000 }; ///< From an endpoint's leaving to its last new request.
    milliseconds configuration { 3000 }; ///< From an accepted catalog to its use on all nodes.
    milliseconds grace { 8000 }; ///< From SIGTERM to SIGKILL.
    double repeatRatio { 0.2 }; ///< Repeats a service may get, as a share of its requests.
    milliseconds repeatWindow { 10000 };
    double repeatSlack { 50 }; ///< Repeats allowed in a window beside the share.
    milliseconds allowanceWindow { 8000 };
    bool requiresFence { true };
    milliseconds lease { 3000 }; ///< A duty must not return to an earlier holder within this time.
    milliseconds usageWindow { 5000 };
    milliseconds usageDue { 10000 }; ///< After the end of a usage window.
    double exposureShare { 0.1 }; ///< Of a service's requests, to a version that turns out bad.
    double exposureSlack { 50 };
    milliseconds prefixReuse { 10000 }; ///< Reading a prompt part again within this time is wasted work.
    milliseconds longestAddressLife { 5000 }; ///< Longest time to live of a directory answer.
};

/// The platform's metadata store.
struct store_facts {
    std::string address;
    double writesPerSecond { 0 };
    double readsPerSecond { 0 };
};

/// The cloud's interface for orders and usage.
struct cloud_facts {
    std::string address;
    bool wantsUsage { false };
    bool wantsScaling { false };
    double callsPerSecond { 0 };
};

struct node_facts {
    Common::node_id node;
    std::string ip;
    Common::zone_name zone;
    Common::region_name region;
    std::map<Common::zone_name, Common::region_name> regions; ///< Of every availability zone.
    listen_addresses listen;
    uint16_t firstPeerPort { 0 };
    uint16_t lastPeerPort { 0 };
    bool isFirstStart { false };
    machine_limits limits;
    milliseconds heartbeat { 1000 }; ///< Interval at which endpoints renew their entries.
    service_bounds bounds;
    store_facts store;
    cloud_facts cloud;
};

} // namespace Fleet
