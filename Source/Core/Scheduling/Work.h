#pragma once

/// @file
/// The properties of a request that the choice of its endpoint depends on.

#include "Common/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace Scheduling {

using std::chrono::milliseconds;

/// A part of a prompt that other requests may share; the last part is specific to the request or its session.
struct prompt_part {
    std::string id;
    uint32_t tokens { 0 };
};

/// Model, size and parts of the prompt as stated in a request.
struct model_request {
    std::string model;
    uint32_t promptTokens { 0 };
    uint32_t maxOutputTokens { 0 };
    std::optional<uint32_t> expectedOutputTokens; ///< The caller's estimate, often far off.
    std::vector<prompt_part> parts;
};

/// Load that an endpoint reports in its answers.
struct reported_load {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    uint32_t slots { 0 };
    /// How long work takes because of other work on the endpoint's machine, in percent of the usual time; empty: not stated.
    std::optional<uint32_t> pacePercent {};
};

/// One request that needs an endpoint; without a model it is a plain service call.
struct placement_request {
    Common::service_name service;
    std::optional<model_request> model;
    Common::instant arrived;
    Common::instant deadline;
};

} // namespace Scheduling
