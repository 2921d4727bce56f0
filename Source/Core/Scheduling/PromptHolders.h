#pragma once

/// @file
/// Which endpoints are to hold a prompt part that several requests share. All nodes rank the endpoints by the same hash, so
/// they send requests with the same part to the same endpoint without a message. A node prefers that endpoint only by the
/// time that the cached part saves, so one that is loaded beyond that is passed over for the next in rank. Pure functions.

#include "Common/Ids.h"
#include "Scheduling/Work.h"

#include <vector>

namespace Scheduling {

/// An endpoint that is expected to hold the shared parts of a prompt.
struct prompt_holder {
    Common::endpoint_id endpoint;
    double cachedTokens { 0 }; ///< Expected number, weighted by how likely other nodes sent it such prompts.
};

/// @param model a model request.
/// @param endpoints those among which the nodes of this region choose.
/// @return the endpoints that hold the request's shared parts, the first in rank first; empty if it shares none.
std::vector<prompt_holder> findPromptHolders(const model_request& model, const std::vector<Common::endpoint_id>& endpoints);

} // namespace Scheduling
