#pragma once

/// @file
/// Chooses the endpoint of a request by its predicted time to the first event. Pure: no clock, no socket.

#include "Catalog/Catalog.h"
#include "Common/Random.h"
#include "Fleet/EndpointBook.h"
#include "Scheduling/PromptCache.h"
#include "Scheduling/Work.h"

#include <map>
#include <optional>
#include <set>

#include <tl/expected.hpp>

namespace Scheduling {

/// Identifies one request at an endpoint among those of this node.
using placement_id = Common::strong_type<struct placement_id_tag, uint64_t>;

/// A request of this node at an endpoint.
struct placed_work {
    double freshTokens { 0 }; ///< Prompt tokens that the endpoint has to read.
    double outputTokens { 0 }; ///< Expected.
    Common::instant sent;
    double predictedMs { 0 };
    double pressure { 1 }; ///< That the prediction was made with.
    double tokensAhead { 0 }; ///< Prompt tokens to be read until its first event, its own included.
    bool hasBegun { false }; ///< Its first event or answer has arrived.
};

/// What this node knows of one endpoint.
struct endpoint_state {
    Fleet::endpoint facts;
    std::map<placement_id, placed_work> placed;
    double waitingTokens { 0 }; ///< Fresh tokens of placed work that has not begun.
    std::optional<stated_load> stated;
    Common::instant statedAt;
    double slowness { 1 }; ///< Learned ratio of actual to predicted time.
    prompt_cache cache;
    uint32_t failuresInRow { 0 };
    Common::instant ejectedUntil;
    Common::instant warmFrom; ///< When the endpoint's warm-up after its start ends.
};

/// Where this node stands.
struct location {
    Common::zone_name zone;
    Common::region_name region;
    std::map<Common::zone_name, Common::region_name> regions;
};

/// Running regression of the time to a first event over the prompt tokens that had to be read before it.
struct reading_model {
    double weight { 0 };
    double sumTokens { 0 };
    double sumMs { 0 };
    double sumTokensSquared { 0 };
    double sumTokensMs { 0 };
    double unloadedMsPerToken { 0 }; ///< Of an engine with nothing else to do; zero until known.
};

struct scheduler_state {
    location here;
    std::map<Common::endpoint_id, endpoint_state> endpoints;
    std::map<Common::service_name, reading_model> reading;
    /// Lately observed ratio of actual to predicted time over all endpoints of a service: what other nodes send shows
    /// only here, and a node meets each endpoint too seldom to learn it from that endpoint alone.
    std::map<Common::service_name, double> pressure;
    Common::random_source random { 1 };
    placement_id lastPlacement;
};

struct placement {
    Common::endpoint_id endpoint;
    std::string address;
    placement_id id;
    double predictedMs { 0 };
    double freshTokens { 0 };
};

enum class refusal_reason {
    NoEndpoint, ///< No endpoint of the service is known or allowed.
    TooLate, ///< No endpoint is predicted to begin before the deadline.
};

struct refusal {
    refusal_reason reason { refusal_reason::NoEndpoint };
    milliseconds retryAfter { 0 };
};

/// What a placement must avoid or respect.
struct placement_limits {
    std::set<Common::endpoint_id> avoided; ///< Already tried.
    std::optional<Common::version_name> onlyVersion;
    std::optional<Common::version_name> neverVersion;
};

/// Adds an endpoint or renews what is known of it. A restart forgets its load and cache.
void noteEndpoint(scheduler_state& state, const Fleet::endpoint& item, Common::instant now);
/// Forgets an endpoint.
void dropEndpoint(scheduler_state& state, const Common::endpoint_id& id);

/// @param state what is known; the placement is recorded in it.
/// @param item the request.
/// @param limits what to avoid.
/// @param now the present time.
/// @return where it goes, or why it can't be served.
tl::expected<placement, refusal> place(scheduler_state& state, const work& item, const placement_limits& limits, Common::instant now);

/// The first event or the answer of a placed request arrived.
void noteBegun(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, Common::instant now);

/// How a placed request ended, as far as it speaks for or against the endpoint.
enum class placement_end {
    Served,
    NotRun, ///< The endpoint refused it.
    Failed, ///< It broke off, answered nonsense or failed.
    Unreachable, ///< No connection.
    Abandoned, ///< Ended for a reason that says nothing of the endpoint.
};

/// A placed request ended.
void noteEnded(scheduler_state& state, const Common::endpoint_id& endpoint, placement_id id, placement_end end, Common::instant now);

/// An endpoint stated its load.
void noteStatedLoad(scheduler_state& state, const Common::endpoint_id& endpoint, const stated_load& load, Common::instant now);

/// @param state what is known.
/// @param service the service of a request.
/// @param fresh prompt tokens that have to be read.
/// @param model the request's size.
/// @return time of an engine that the request takes, in milliseconds.
double engineMs(const scheduler_state& state, const Common::service_name& service, double fresh, const model_facts& model);

/// @return whether an endpoint of the service takes work.
bool hasEndpoint(const scheduler_state& state, const Common::service_name& service);

/// @param reason any reason.
/// @return its stable name in logs and metrics.
const char* nameOf(refusal_reason reason);

} // namespace Scheduling
