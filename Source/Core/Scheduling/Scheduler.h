#pragma once

/// @file
/// Chooses the endpoint of a request by the predicted time to its first event. Pure functions: the time is passed in,
/// nothing is sent.

#include "Catalog/Catalog.h"
#include "Common/Random.h"
#include "Fleet/EndpointRegistry.h"
#include "Scheduling/Declarations.h"
#include "Scheduling/LoadEstimate.h"
#include "Scheduling/PromptCache.h"
#include "Scheduling/Work.h"

#include <map>
#include <optional>
#include <set>

#include <tl/expected.hpp>

namespace Scheduling {

/// Identifies one placement of a request at an endpoint; unique within this node.
using placement_id = Common::strong_type<struct placement_id_tag, uint64_t>;

/// A request that this node has sent to an endpoint and that hasn't ended.
struct placed_work {
    double uncachedTokens { 0 }; ///< Prompt tokens that the endpoint has to process.
    double outputTokens { 0 }; ///< Expected number.
    Common::instant sent;
    double predictedMs { 0 }; ///< Predicted time to the first event.
    double serviceLatencyFactor { 1 }; ///< The factor that predictedMs was computed with.
    double tokensAhead { 0 }; ///< Prompt tokens to process before its first event, its own included.
    double learnedMs { 0 }; ///< Of a trial: the prediction by which it would have been refused; otherwise zero.
    bool hasBegun { false }; ///< Its first event or answer has arrived.
    double firstEventMs { 0 }; ///< Time to it.
};

/// What this node has observed of one endpoint.
struct endpoint_state {
    Fleet::endpoint facts;
    std::map<placement_id, placed_work> placed;
    double waitingTokens { 0 }; ///< Uncached prompt tokens of placed requests without a first event.
    std::optional<load_report> reported; ///< Last load reported by the endpoint.
    double latencyFactor { 1 }; ///< Correction of predicted times, adapted to the observed ones.
    Common::instant learnedAt; ///< When the correction was last adapted, or a trial began.
    prompt_cache cache;
    uint32_t consecutiveFailures { 0 };
    uint32_t consecutiveUnreachable { 0 }; ///< Attempts that got no connection.
    Common::instant ejectedUntil;
    Common::instant warmUpEnd; ///< End of the warm-up after the endpoint's start.
};

/// Zone and region of this node, and the region of each zone.
struct location {
    Common::zone_name zone;
    Common::region_name region;
    std::map<Common::zone_name, Common::region_name> regions;
};

/// Running linear regression of the time to the first event over the prompt tokens processed before it; old samples
/// decay.
struct prefill_regression {
    double weight { 0 };
    double sumTokens { 0 };
    double sumMs { 0 };
    double sumTokensSquared { 0 };
    double sumTokensMs { 0 };
    double unloadedMsPerToken { 0 }; ///< Prefill time per token of an otherwise idle engine; zero until measured.
};

struct scheduler_state {
    location ownLocation;
    std::map<Common::endpoint_id, endpoint_state> endpoints;
    declaration_map declarations;
    std::map<Common::service_name, prefill_regression> prefillRegressions;
    /// Recent correction of predicted times over all endpoints of a service. It captures load caused by other nodes: a
    /// single node uses each endpoint too rarely to measure that per endpoint.
    std::map<Common::service_name, double> serviceLatencyFactors;
    std::map<Common::service_name, service_load> serviceLoads;
    /// When a first event of the service was last observed, or a trial began.
    std::map<Common::service_name, Common::instant> learnedAt;
    Common::random_source random { 1 };
    placement_id lastPlacement;
};

struct placement {
    Common::endpoint_id endpoint;
    Fleet::start_time started; ///< The start of the endpoint that was chosen.
    std::string address;
    placement_id id;
    double predictedMs { 0 }; ///< Predicted time to the first event.
    double uncachedTokens { 0 }; ///< Prompt tokens that the endpoint has to process.
    /// The prediction without the corrections by observed latencies, so that these can be compared between endpoints.
    double expectedMs { 0 };
    /// Endpoints that would have been chosen before this one if they took more requests.
    std::vector<Common::endpoint_id> betterLimited;
};

enum class refusal_reason {
    NoEndpoint, ///< No endpoint of the service is known or allowed.
    OutsideHomes, ///< Endpoints are ready, but none in a region in which the request may be served.
    BackingOff, ///< No endpoint wants requests now.
    Limited, ///< All endpoints that could serve the request take no more requests now.
    TooLate, ///< No endpoint is predicted to begin before the deadline.
    Quarantined, ///< Endpoints went down under requests like it.
};

struct refusal {
    refusal_reason reason { refusal_reason::NoEndpoint };
    milliseconds retryAfter { 0 };
    std::vector<Common::endpoint_id> limited {}; ///< Endpoints that could serve the request but take no more now.
};

/// Constraints on the choice of an endpoint.
struct placement_limits {
    std::set<Common::endpoint_id> avoided; ///< Endpoints that the request has already been tried at.
    std::optional<Common::version_name> onlyVersion;
    std::set<Common::version_name> neverVersions {};
    std::set<Common::endpoint_id> limited {}; ///< Endpoints that take no more requests now.
    std::optional<std::set<Common::region_name>> onlyRegions {}; ///< Where the request may be served; empty: anywhere.
    std::set<Common::zone_name> neverZones {}; ///< Availability zones that get no requests.
};

/// @return whether requests under these limits may go to endpoints of the zone.
bool mayUseZone(const location& own, const placement_limits& limits, const Common::zone_name& zone);

/// Adds or updates an endpoint. If it was restarted or its address changed, its load and cache estimates are reset.
void updateEndpoint(scheduler_state& state, const Fleet::endpoint& endpoint, Common::instant now);
/// Removes an endpoint and all that was recorded about it.
void removeEndpoint(scheduler_state& state, const Common::endpoint_id& id);

/// Chooses the endpoint with the lowest predicted time, distance penalty included. If corrections by observed times refuse
/// the request, and nothing was observed for a while, the request is placed as a trial of them.
/// @param state the endpoints; the placement is recorded in it.
/// @param request the request to place.
/// @param limits constraints on the choice.
/// @param now current time.
/// @return the placement, or why the request can't be served in time.
tl::expected<placement, refusal> place(scheduler_state& state, const placement_request& request, const placement_limits& limits, Common::instant now);

/// @param state the endpoints.
/// @param request a request that isn't placed yet.
/// @param now current time.
/// @return the lowest predicted time to its first event, in milliseconds; zero without a usable endpoint.
double predictFirstEventMs(const scheduler_state& state, const placement_request& request, Common::instant now);

/// Records that the first event or the answer of a placed request arrived.
void recordFirstEvent(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, Common::instant now);

/// How a placed request ended, as far as it counts for or against the endpoint.
enum class placement_end {
    Served,
    NotRun, ///< The endpoint refused it.
    Failed, ///< The answer was cut off, malformed or an error.
    Unreachable, ///< No connection could be made.
    Abandoned, ///< Ended for a reason unrelated to the endpoint.
};

/// Records the end of a placed request; repeated failures eject the endpoint for a while.
void recordEnd(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, placement_end end, Common::instant now);

/// Ends the ejection of all endpoints of a service: this node had lost its paths to them.
void readmitEndpoints(scheduler_state& state, const Common::service_name& service);

/// @return this node's requests at the endpoint that haven't ended.
size_t countPlaced(const scheduler_state& state, const Common::endpoint_id& endpoint);

/// @return this node's requests at the endpoint that it hasn't begun to answer.
size_t countUnanswered(const scheduler_state& state, const Common::endpoint_id& endpoint);

/// Stores the load that an endpoint reported.
void recordReportedLoad(scheduler_state& state, const Common::endpoint_id& endpoint, const reported_load& load, Common::instant now);

/// @param state the measured prefill speeds.
/// @param service the service of the request.
/// @param uncachedTokens prompt tokens that have to be processed.
/// @param model the request's size.
/// @return engine time that the request takes, in milliseconds.
double engineMs(const scheduler_state& state, const Common::service_name& service, double uncachedTokens, const model_request& model);

/// @param state the endpoints.
/// @param service any service.
/// @param now current time.
/// @return how long no endpoint of the service wants requests; zero if one wants them now or if none is ready.
milliseconds backoffLeft(const scheduler_state& state, const Common::service_name& service, Common::instant now);

/// @param state the endpoints.
/// @param service any service.
/// @param limits constraints on the choice.
/// @return whether any endpoint of the service is ready that the limits allow.
bool hasEndpoint(const scheduler_state& state, const Common::service_name& service, const placement_limits& limits = {});

/// @return the name of the reason in logs and metrics.
const char* nameOf(refusal_reason reason);

} // namespace Scheduling
