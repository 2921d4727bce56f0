#pragma once

/// @file
/// Drives the dispatch decisions of several nodes with small fake engines on a virtual clock through a busy day's shape.

#include "Dispatch/Dispatcher.h"

#include <string>
#include <vector>

namespace Measure {

/// A group of equal engines.
struct engine_group {
    std::string zone;
    std::string region;
    int count { 0 };
    int64_t pricePerHourMicro { 0 };
    bool isReclaimable { true };
};

struct account_load {
    std::string name;
    double share { 0 }; ///< Of all requests.
};

struct profile {
    std::string name;
    std::vector<engine_group> groups;
    std::vector<std::string> nodeRegions; ///< One entry node each.
    std::vector<account_load> accounts;
    double requestsPerSecond { 0 };
    int meanTokens { 0 };
};

struct measure_options {
    uint64_t seed { 1 };
    Routing::policy policy { Routing::policy::CheapestInTarget };
    bool hasAdmission { true };
    int seconds { 600 };
};

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
    double worstAccountInTarget { 1 };
};

/// @return the profile with that name; its groups are empty when there is none.
profile findProfile(const std::string& name);

/// @return the measures of one run; the same for the same options.
measure_result runMeasure(const profile& chosen, const measure_options& options);

} // namespace Measure
