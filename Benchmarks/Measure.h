#pragma once

/// @file
/// Simulation of a busy day on a virtual clock: the dispatch code of several nodes with simulated engines.

#include "Dispatch/Dispatcher.h"

#include <string>
#include <vector>

namespace Measure {

/// A group of identical engines in one zone.
struct engine_group {
    std::string zone;
    std::string region;
    int count { 0 };
    int64_t pricePerHourMicro { 0 };
    bool isReclaimable { true };
};

struct account_load {
    std::string name;
    double share { 0 }; ///< Fraction of all requests.
};

/// A simulated system and its load.
struct profile {
    std::string name;
    std::vector<engine_group> groups;
    std::vector<std::string> nodeRegions; ///< Region of each entry node; one node per element.
    std::vector<account_load> accounts;
    double requestsPerSecond { 0 }; ///< Base rate; it varies over the simulated day.
    int meanTokens { 0 };
};

struct measure_options {
    uint64_t seed { 1 };
    Routing::policy policy { Routing::policy::CheapestInTarget };
    bool hasAdmission { true };
    int seconds { 600 }; ///< Virtual time in which requests arrive.
};

/// Counts of one run. A request is in target when its first token arrives in time and it doesn't fail.
struct measure_result {
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    uint64_t inTarget { 0 };
    uint64_t refused { 0 };
    uint64_t failed { 0 };
    uint64_t tokens { 0 };
    uint64_t tokensRecomputed { 0 };
    uint64_t promptsComputed { 0 };
    uint64_t promptsCached { 0 };
    double costMicro { 0 };
    double worstAccountInTarget { 1 }; ///< Fraction of requests in target, of the account for which it is lowest.
};

/// @return the profile with this name; its groups are empty when there is none.
profile findProfile(const std::string& name);

/// Runs the simulation; the result depends only on the profile and the options.
/// @return the counts of the run.
measure_result runMeasure(const profile& chosen, const measure_options& options);

} // namespace Measure
