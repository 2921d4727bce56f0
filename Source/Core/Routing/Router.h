#pragma once

/// @file
/// Chooses the endpoint of each attempt: the cheapest one that is predicted to meet the target of the request's class.
/// Reads no clock and opens no socket; all randomness comes from the seeded source in the state.

#include "Common/Random.h"
#include "Configuration/Model.h"
#include "Endpoints/Model.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Routing {

/// How the endpoint of an attempt is chosen.
enum class policy {
    CheapestInTarget,
    RoundRobin, ///< Baseline for comparison.
    LeastReported, ///< Baseline for comparison: smallest load in the last report.
    Nearest, ///< Baseline for comparison: own zone, then own region.
};

/// This node's measurements and estimates of one endpoint.
struct endpoint_view {
    std::shared_ptr<const Endpoints::instance_info> info; ///< Held by pointer, so that a decision reads few cache lines.
    uint32_t reportedRunning { 0 };
    uint32_t reportedWaiting { 0 };
    uint32_t sentSinceReport { 0 }; ///< Attempts that this node began after the last report.
    uint32_t inFlight { 0 }; ///< Attempts of this node in progress.
    double firstTokenSeconds { 0.1 }; ///< Moving average of the time to the first token without queueing.
    double answerSeconds { 1.0 }; ///< Moving average of the time that a request occupies a slot.
    double predictionErrorSeconds { 0.0 }; ///< Moving average of how much later than predicted first tokens arrive.
    double failureRate { 0.0 }; ///< Moving average of the share of failed attempts, 0 to 1.
    Common::instant firstSeen; ///< The slow start is measured from here.
    Common::instant ejectedUntil;
    uint32_t ejections { 0 }; ///< Ejections since the last successful attempt.
    // Derived from info, so that a decision compares no strings.
    bool isInRegion { true };
    double slots { 1 };
    double costPerSlotSecond { 0 }; ///< In millionths of the currency unit.
};

/// The prediction for one endpoint during a decision.
struct candidate {
    uint32_t index { 0 }; ///< Into router_state::views.
    double firstTokenSeconds { 0 };
    double predictionErrorSeconds { 0 }; ///< Added to firstTokenSeconds for the comparison with the target.
    double costMicro { 0 };
};

struct router_state {
    policy chosenPolicy { policy::CheapestInTarget };
    Common::zone_name zone; ///< Zone of this node.
    Common::region_name region; ///< Region of this node.
    Common::random_source random { 1 };
    std::vector<endpoint_view> views; ///< Sorted by id.
    std::map<std::string, std::vector<uint32_t>> byService; ///< Indexes into views.
    std::unordered_map<uint64_t, Common::endpoint_id> prefixHolders; ///< By prefix hash: where it was last sent.
    uint32_t roundRobinNext { 0 };
    /// By class: the share of the target that a prediction may use; reduced by each late first token.
    std::unordered_map<Common::class_name, double> targetShares;
    double nodesPerEndpoint { 1 }; ///< Number of entry nodes that send to an endpoint, including this one.
    // Reused by all decisions, so that a decision allocates no memory.
    std::vector<uint32_t> scratchIndexes;
    std::vector<candidate> scratchCandidates;
};

/// One attempt's request and the restrictions on its endpoint.
struct routing_request {
    const Configuration::class_of_work* work { nullptr };
    uint64_t prefixHash { 0 }; ///< Zero if the request has no prompt prefix.
    std::vector<Common::endpoint_id> avoided; ///< Endpoints on which this request already failed.
    /// Share of traffic that a version receives, in thousandths; versions that are not listed receive the rest.
    const std::map<Common::version_name, uint32_t>* versionShares { nullptr };
    /// The version that receives the rest; if null or empty, all versions without a share receive it.
    const Common::version_name* currentVersion { nullptr };
};

/// The chosen endpoint and the prediction for it, which the explanation of a request shows.
struct routing_choice {
    size_t index { 0 }; ///< Into router_state::views.
    double predictedFirstTokenSeconds { 0 };
    double predictedCostMicro { 0 }; ///< In millionths of the currency unit.
    bool meetsTarget { false };
};

/// Replaces the list of endpoints; the estimates for endpoints that remain on it are kept.
void setEndpoints(router_state& state, const std::vector<Endpoints::instance_info>& usable, Common::instant now);

/// Applies the load that an endpoint reported; ignored for an endpoint that is not on the list.
void applyLoadReport(router_state& state, const Endpoints::load_report& report);

/// @param now the current time; ejections and slow starts are measured against it.
/// @return the chosen endpoint, or nothing if the class's service has no admissible one.
std::optional<routing_choice> chooseEndpoint(router_state& state, const routing_request& request, Common::instant now);

/// Records the start of an attempt at an endpoint.
/// @param prefixHash hash of the request's prompt prefix, or zero if it has none.
void recordAttemptStart(router_state& state, const Common::endpoint_id& id, uint64_t prefixHash);

/// The result of an attempt, which updates the estimates.
struct attempt_outcome {
    bool isFailed { false };
    std::optional<double> answerSeconds; ///< Time that the attempt occupied a slot, if it was measured.
};

/// Records the end of an attempt and updates the endpoint's estimates. At a high failure rate the endpoint is ejected.
void recordAttemptEnd(router_state& state, const Common::endpoint_id& id, const attempt_outcome& outcome, Common::instant now);

/// Updates the estimates of the time to the first token, less the predicted queueing time, and of the prediction error.
/// @param view the endpoint.
/// @param seconds time to the first token, measured from the start of the attempt.
/// @param predictedSeconds the prediction at the start of the attempt.
void updateFirstTokenEstimate(endpoint_view& view, double seconds, double predictedSeconds);

/// Adapts the share of a class's target that predictions may use, so that about 97 of 100 first tokens are in time.
/// @param isLate whether the first token arrived later than the class's target.
void adaptTargetShare(router_state& state, const Common::class_name& work, bool isLate);

/// @return the view of an endpoint, or null if it is not on the list; valid until setEndpoints().
endpoint_view* findView(router_state& state, const Common::endpoint_id& id);

} // namespace Routing
