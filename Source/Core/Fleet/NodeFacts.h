#pragma once

/// @file
/// A node's settings from the platform: its location, addresses, resource limits and the bounds it has to keep.

#include "Common/Ids.h"

#include <map>
#include <set>
#include <string>

namespace Fleet {

using std::chrono::milliseconds;

/// IP number and port of each of a node's listeners; empty when the listener is not used.
struct listen_addresses {
    std::string callers; ///< Requests of clients.
    std::string readiness; ///< Readiness probes.
    std::string directory; ///< Queries for the addresses of nodes.
};

/// Resources that the machine grants the process.
struct machine_limits {
    double cores { 1 }; ///< CPU cores.
    uint32_t memoryMegabytes { 256 };
    uint32_t fileDescriptors { 1024 };
    double linkMegabitsPerSecond { 1000 };
};

/// Time limits and ratios that the system must keep.
struct service_bounds {
    milliseconds drain { 3000 }; ///< From the time an endpoint begins leaving to the last new request sent to it.
    milliseconds configuration { 3000 }; ///< From the acceptance of a catalog to its use on all nodes.
    milliseconds grace { 8000 }; ///< From SIGTERM to SIGKILL.
    double retryRatio { 0.2 }; ///< Retries that a service may get in a window, as a share of its requests.
    milliseconds retryWindow { 10000 }; ///< Window of the retry budget.
    double retrySlack { 50 }; ///< Retries allowed in a window in addition to the share.
    milliseconds quotaWindow { 8000 }; ///< Window of the account quotas.
    bool requiresFence { true }; ///< Calls made for a duty must carry a fence token.
    milliseconds lease { 3000 }; ///< A duty must not return to an earlier holder within this time.
    milliseconds usageWindow { 5000 }; ///< Period that one usage report covers.
    milliseconds usageReportDeadline { 10000 }; ///< From the end of a usage window to its report.
    double exposureShare { 0.1 }; ///< Largest share of a service's requests to a new version that turns out bad.
    double exposureSlack { 50 }; ///< Requests allowed in addition to the share.
    milliseconds prefixReuse { 10000 }; ///< Processing the same prompt prefix again within this time is wasted work.
    milliseconds maxAddressTtl { 5000 }; ///< Maximum time to live of a directory answer.
    double coldOvershoot { 0 }; ///< A cold endpoint may get this many times its rate in one second; zero: not limited.
    double coldSlack { 0 }; ///< Requests that it may get besides in one second.
};

/// The platform's metadata store.
struct store_facts {
    std::string address; ///< Host and port.
    double writesPerSecond { 0 }; ///< Limit set by the platform.
    double readsPerSecond { 0 }; ///< Limit set by the platform.
};

/// The cloud's interface for ordering endpoints and reporting usage.
struct cloud_facts {
    std::string address; ///< Host and port.
    bool wantsUsage { false }; ///< Usage has to be reported.
    bool wantsScaling { false }; ///< Endpoints have to be ordered.
    double callsPerSecond { 0 }; ///< Limit set by the platform for the calls of a duty.
};

struct node_facts {
    Common::node_id node;
    std::string ip;
    Common::zone_name zone;
    Common::region_name region;
    std::map<Common::zone_name, Common::region_name> regions; ///< The region of each availability zone.
    listen_addresses listen;
    uint16_t firstPeerPort { 0 }; ///< Range of ports for traffic between nodes.
    uint16_t lastPeerPort { 0 }; ///< Included in the range.
    bool isFirstStart { false }; ///< The platform's bootstrap flag; without it the account quotas start empty.
    machine_limits limits;
    milliseconds heartbeat { 1000 }; ///< Interval at which endpoints renew their entries.
    service_bounds bounds;
    store_facts store;
    cloud_facts cloud;
};

} // namespace Fleet
