#pragma once

/// @file
/// Routes, services, client accounts and input limits as operators define them, and pure functions to look them up.

#include "Common/Ids.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Catalog {

using std::chrono::milliseconds;

/// Whether a request may run more than once, and the form of its answer.
enum class route_kind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Must not run twice.
    Stream, ///< Answered by a stream of events; must not run twice unless the route is resumable.
};

/// Regions in which requests may be served; nowhere when it is empty.
using home_regions = std::set<Common::region_name>;

/// A service that receives a share of a route's requests.
struct service_share {
    Common::service_name service;
    uint32_t weight { 1 }; ///< Relative to the sum of the weights of the route.
};

struct route {
    Common::route_name name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<service_share> shares;
    route_kind kind { route_kind::AtMostOnce };
    milliseconds timeout { 0 }; ///< Maximum time that a caller waits; zero when the operator sets none.
    milliseconds target { 0 }; ///< Latency objective up to the answer, or up to the first event of a stream.
    milliseconds longestPause { 0 }; ///< Maximum time between two events of a stream; zero when the operator sets none.
    uint32_t priority { 0 }; ///< 0 is the most urgent.
    uint32_t maxEndpoints { 1 }; ///< Maximum number of endpoints that one request may be sent to.
    bool isPublic { false }; ///< Callers need no key.
    bool isSticky { false }; ///< Requests carry prompt parts that are best kept on the same endpoint.
    bool isResumable { false }; ///< A broken stream may be continued at another endpoint.
    std::optional<home_regions> homes {}; ///< Not set: no restriction.
};

/// Properties of each engine of a service that batches model requests.
struct engine_profile {
    uint32_t slots { 1 }; ///< Requests that run at a time.
    uint64_t memoryTokens { 0 }; ///< Capacity of the KV cache in tokens.
    uint64_t bytesPerToken { 0 }; ///< Size of a token in the KV cache.
    bool canMoveRuns { false }; ///< A running request can be moved to another engine.
};

/// How many endpoints of a service may be ordered in each availability zone, and what they cost.
struct scaling_bounds {
    uint32_t min { 0 }; ///< Minimum number of endpoints in a zone.
    uint32_t max { 0 }; ///< Maximum number of endpoints in a zone.
    milliseconds bootTime { 0 };
    double reclaimablePrice { 1 }; ///< As a fraction of the price of an endpoint that is not reclaimable.
    std::map<Common::zone_name, double> zonePrices; ///< Price of one endpoint for a second, by zone.
};

struct service {
    Common::service_name name;
    std::string healthPath;
    uint32_t maxConnections { 0 };
    std::optional<engine_profile> engine;
    std::optional<scaling_bounds> scaling;
    double coldPerSecond { 0 }; ///< Requests per second that a cold endpoint takes from all nodes together; zero: not limited.
    milliseconds coldTime { 0 }; ///< How long an endpoint stays cold.
};

/// Rate limit of a client account, enforced over all nodes together. A rate of zero means no limit.
struct allowance {
    double perSecond { 0 }; ///< Requests or tokens per second.
    double burst { 0 }; ///< Requests or tokens that may be used at once after a pause.
    bool countsTokens { false }; ///< The limit counts tokens when set, otherwise requests.
    uint64_t plainTokens { 1 }; ///< Tokens counted for a request that does not state its tokens.
};

struct account {
    Common::account_id id;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; ///< Overrides the priority of the route.
    allowance allowed;
    std::optional<home_regions> homes {}; ///< Not set: no restriction.
};

/// Limits on the size and duration of a caller's input.
struct input_limits {
    uint32_t headerBytes { 16384 };
    uint64_t bodyBytes { uint64_t { 4 } * 1024 * 1024 };
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

struct catalog {
    uint64_t version { 0 };
    std::vector<route> routes;
    std::map<Common::service_name, service> services;
    /// Whether routes that aren't public require the key of an account. Only an operator who defines no list of accounts at all
    /// admits everybody: an empty list means that no key is valid.
    bool requiresKeys { true };
    std::vector<account> accounts;
    input_limits limits;
    /// Look-up tables filled by indexCatalog(): indexes into routes and accounts.
    std::map<std::string, std::vector<size_t>, std::less<>> routesByHost;
    std::map<std::string, size_t, std::less<>> accountByKey;
};

using catalog_pointer = std::shared_ptr<const catalog>;

/// Fills the look-up tables. The routes of a host are ordered by descending length of prefix.
/// @param item the catalog to index, changed in place.
void indexCatalog(catalog& item);

/// @param item an indexed catalog.
/// @param host the requested host, in upper or lower case, with or without a port.
/// @param path the path of the request.
/// @return the route with the longest matching prefix, or null.
const route* findRoute(const catalog& item, std::string_view host, std::string_view path);

/// @param item an indexed catalog.
/// @param key a caller's key.
/// @return the account that the key belongs to, or null.
const account* findAccount(const catalog& item, std::string_view key);

/// @param item a route.
/// @param uniform a uniformly distributed random number in [0, 1).
/// @return a service chosen with a probability in proportion to its weight; empty when the route has no weights.
Common::service_name chooseService(const route& item, double uniform);

/// @param item a route.
/// @return whether a request may run more than once.
bool mayRetry(const route& item);

/// @param item a catalog.
/// @param name a service.
/// @return the service, or null.
const service* findService(const catalog& item, const Common::service_name& name);

} // namespace Catalog
