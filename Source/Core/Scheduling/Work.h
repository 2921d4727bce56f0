#pragma once

/// @file
/// What a request asks of an endpoint, as far as placing it depends on it.

#include "Common/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace Scheduling {

using std::chrono::milliseconds;

/// A part of a prompt that other requests may share; the last one belongs to the request or its session.
struct prompt_part {
    std::string id;
    uint32_t tokens { 0 };
};

/// What a request for a model states of its size.
struct model_facts {
    std::string model;
    uint32_t promptTokens { 0 };
    uint32_t mostOutputTokens { 0 };
    std::optional<uint32_t> expectedOutputTokens; ///< The caller's guess, often far off.
    std::vector<prompt_part> parts;
};

/// Load that an endpoint states in its answers.
struct stated_load {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    uint32_t slots { 0 };
};

/// One request to be placed.
struct work {
    Common::service_name service;
    std::optional<model_facts> model;
    Common::instant arrived;
    Common::instant deadline;
};

} // namespace Scheduling
