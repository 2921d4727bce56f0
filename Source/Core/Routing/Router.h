#pragma once

/// @file
/// Chooses the endpoint of each attempt: the cheapest that is predicted to meet the class's target.
/// No clock, no socket; all randomness comes from the seeded source in the state.

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
    RoundRobin, ///< Baseline.
    LeastReported, ///< Baseline: smallest load in the last report.
    Nearest, ///< Baseline: own zone, then own region.
};

/// What this node knows of one endpoint.
struct endpoint_view {
    std::shared_ptr<const Endpoints::instance_info> info; ///< Apart, so that a decision reads few cache lines.
    uint32_t reportedRunning { 0 };
    uint32_t reportedWaiting { 0 };
    uint32_t sentSinceReport { 0 }; ///< Attempts begun here that the last report can't contain.
    uint32_t inFlight { 0 }; ///< Attempts of this node under way.
    double firstTokenSeconds { 0.1 }; ///< Learned time to the first token without queueing.
    double answerSeconds { 1.0 }; ///< Learned time that a request occupies a slot.
    double errorSeconds { 0.0 }; ///< Learned: how much later than predicted first tokens come here.
    double failureRate { 0.0 }; ///< Learned share of failed attempts.
    Common::instant firstSeen;
    Common::instant ejectedUntil;
    uint32_t ejections { 0 };
    // Derived from info, so that a decision touches no text.
    bool isInRegion { true };
    double slots { 1 };
    double costPerSlotSecond { 0 };
};

/// One endpoint while a decision is made.
struct candidate {
    uint32_t index { 0 };
    double firstTokenSeconds { 0 };
    double errorSeconds { 0 }; ///< Added when compared with the target.
    double costMicro { 0 };
};

struct router_state {
    policy chosenPolicy { policy::CheapestInTarget };
    Common::zone_name zone; ///< Where this node stands.
    Common::region_name region;
    Common::random_source random { 1 };
    std::vector<endpoint_view> views; ///< In order of their ids.
    std::map<std::string, std::vector<uint32_t>> byService; ///< Indexes into views.
    std::unordered_map<uint64_t, Common::endpoint_id> prefixHolders; ///< Who answered a prompt prefix last.
    uint32_t roundRobinNext { 0 };
    /// By class: the share of the target that a prediction may use; falls with each late first token.
    std::unordered_map<Common::class_name, double> targetShares;
    double sharingNodes { 1 }; ///< Entry nodes that send to an endpoint, this one included.
    // Kept between decisions, so that a decision allocates nothing.
    std::vector<uint32_t> scratchIndexes;
    std::vector<candidate> scratchCandidates;
};

/// What an attempt needs.
struct routing_request {
    const Configuration::class_of_work* work { nullptr };
    uint64_t prefixHash { 0 }; ///< Zero: none.
    std::vector<Common::endpoint_id> avoided; ///< Endpoints that failed this request.
    /// Share of traffic, in thousandths, that a version may receive; a version that is not listed takes the rest.
    const std::map<Common::version_name, uint32_t>* versionShares { nullptr };
    /// The version that takes the rest; with none all versions without a share take it.
    const Common::version_name* currentVersion { nullptr };
};

/// The chosen endpoint with the prediction behind the choice, kept for explanations.
struct routing_choice {
    size_t index { 0 }; ///< Into router_state::views.
    double predictedFirstTokenSeconds { 0 };
    double predictedCostMicro { 0 };
    bool meetsTarget { false };
};

/// Replaces the list of endpoints; what was learned of those that stay is kept.
void setEndpoints(router_state& state, const std::vector<Endpoints::instance_info>& usable, Common::instant now);

/// Takes an endpoint's own report.
void takeReport(router_state& state, const Endpoints::load_report& report);

/// @return the chosen endpoint, or nothing when the class has no usable one.
std::optional<routing_choice> chooseEndpoint(router_state& state, const routing_request& request, Common::instant now);

/// Counts an attempt as begun at an endpoint.
void noteBegun(router_state& state, const Common::endpoint_id& id, uint64_t prefixHash);

/// How an attempt went, for the prediction.
struct attempt_outcome {
    bool isFailed { false };
    std::optional<double> answerSeconds;
};

/// Counts an attempt as ended and learns from it.
void noteEnded(router_state& state, const Common::endpoint_id& id, const attempt_outcome& outcome, Common::instant now);

/// Learns the time to the first token without the part that was predicted as queueing, and the prediction's error.
/// @param view the endpoint.
/// @param seconds as measured from the attempt's begin.
/// @param predictedSeconds as predicted then.
void learnFirstToken(endpoint_view& view, double seconds, double predictedSeconds);

/// Learns how much of a class's target predictions may use, so that about 97 in 100 first tokens are in time.
/// @param isLate whether the first token came later than the class's target.
void learnTargetShare(router_state& state, const Common::class_name& work, bool isLate);

/// @return the view of an endpoint, or nothing when it is not on the list.
endpoint_view* findView(router_state& state, const Common::endpoint_id& id);

} // namespace Routing
