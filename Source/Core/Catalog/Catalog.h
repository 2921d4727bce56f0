#pragma once

/// @file
/// What operators have put in force: routes, services, client accounts and limits on input. Decisions on it are pure.

#include "Common/Ids.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Catalog {

using std::chrono::milliseconds;

/// What may be repeated, and the form of the answer.
enum class route_kind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Must not run twice.
    Stream, ///< Answered by events; must not run twice unless the route is resumable.
};

/// One service that a route sends a part of its requests to.
struct service_share {
    Common::service_name service;
    uint32_t weight { 1 };
};

struct route {
    Common::route_name name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<service_share> shares;
    route_kind kind { route_kind::AtMostOnce };
    milliseconds timeout { 0 }; ///< Longest time a caller is kept waiting; zero when the operator sets none.
    milliseconds target { 0 }; ///< Latency objective: to the answer, or to a stream's first event.
    milliseconds longestPause { 0 }; ///< Between the events of a stream; zero when the operator sets none.
    uint32_t priority { 0 }; ///< 0 is the most urgent.
    uint32_t maxEndpoints { 1 }; ///< Endpoints that one request may be sent to.
    bool isPublic { false }; ///< Needs no key.
    bool isSticky { false }; ///< Requests carry prompt parts worth keeping together.
    bool isResumable { false }; ///< A stream may go on at another endpoint.
};

/// Engines of a service that batches model requests.
struct engine_profile {
    uint32_t slots { 1 };
    uint64_t memoryTokens { 0 };
    uint64_t bytesPerToken { 0 };
    bool canMoveRuns { false };
};

/// How many endpoints of a service may be ordered in each availability zone, and what they cost.
struct scaling_bounds {
    uint32_t least { 0 };
    uint32_t most { 0 };
    milliseconds bootTime { 0 };
    double reclaimablePrice { 1 }; ///< As a share of the price of an endpoint that is not reclaimable.
    std::map<Common::zone_name, double> zonePrices; ///< Of one endpoint for a second.
};

struct service {
    Common::service_name name;
    std::string healthPath;
    uint32_t maxConnections { 0 };
    std::optional<engine_profile> engine;
    std::optional<scaling_bounds> scaling;
};

/// What a client account may ask for, over all nodes together. A rate of zero is no limit.
struct allowance {
    double perSecond { 0 };
    double burst { 0 };
    bool countsTokens { false }; ///< In tokens when set, else in requests.
    uint64_t plainTokens { 1 }; ///< Tokens of a request that states none.
};

struct account {
    Common::account_id id;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; ///< Goes before the route's.
    allowance allowed;
};

/// Bounds on what a caller may send.
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
    std::vector<account> accounts;
    input_limits limits;
    /// Filled by indexCatalog().
    std::map<std::string, std::vector<size_t>, std::less<>> routesByHost;
    std::map<std::string, size_t, std::less<>> accountByKey;
};

using catalog_pointer = std::shared_ptr<const catalog>;

/// Fills the look-up tables; routes of a host are ordered by falling length of prefix.
void indexCatalog(catalog& item);

/// @param item an indexed catalog.
/// @param host the host a caller asks for, in any case, with or without a port.
/// @param path the path of the request.
/// @return the route with the longest matching prefix, or null.
const route* findRoute(const catalog& item, std::string_view host, std::string_view path);

/// @param item an indexed catalog.
/// @param key a caller's key.
/// @return the account that holds it, or null.
const account* findAccount(const catalog& item, std::string_view key);

/// @param item a route.
/// @param uniform a number in [0, 1) that spreads requests over the shares.
/// @return the service that takes the request; empty when the route has none.
Common::service_name chooseService(const route& item, double uniform);

/// @param item a route.
/// @return whether a request may run more than once.
bool mayRepeat(const route& item);

/// @param item a catalog.
/// @param name a service.
/// @return the service, or null.
const service* findService(const catalog& item, const Common::service_name& name);

} // namespace Catalog
