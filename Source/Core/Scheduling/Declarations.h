#pragma once

/// @file
/// What endpoints have declared about themselves in their responses to this node. A declaration is about one start of an
/// endpoint: neither a listing that says otherwise nor a gap in the listings ends it. Pure functions.

#include "Fleet/EndpointRegistry.h"

#include <map>
#include <optional>

namespace Scheduling {

/// Declarations of one start of an endpoint.
struct declaration {
    Fleet::start_time started; ///< The start that declared it.
    bool isLeaving { false };
    Common::instant backoffEnd {}; ///< It wants no requests before.
    std::optional<double> bearableRejections {}; ///< Per second and from all nodes: it goes down when it has to turn away more.
    Common::instant declaredAt {}; ///< When the newest declaration arrived.
};

/// Only the endpoints that have declared something, so it is usually small.
using declaration_map = std::map<Common::endpoint_id, declaration>;

/// With more endpoints than this, the declaration that is oldest is dropped.
constexpr size_t maxDeclarations = 4096;

/// Records that an endpoint leaves.
/// @param declarations changed in place.
/// @param id of the endpoint.
/// @param started the start that said so; a start before the last known one is ignored.
/// @param now current time.
/// @return whether this was not known.
bool declareLeaving(declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started, Common::instant now);

/// Records that an endpoint wants no requests for a while. Of several declarations the longest holds.
/// @param declarations changed in place.
/// @param id of the endpoint.
/// @param started the start that said so; a start before the last known one is ignored.
/// @param end when it wants requests again.
/// @param now current time.
void declareBackoff(declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started, Common::instant end, Common::instant now);

/// Records whether an endpoint goes down when it has to turn away too many requests.
/// @param declarations changed in place.
/// @param id of the endpoint.
/// @param started the start that said so; a start before the last known one is ignored.
/// @param rejections that it bears per second; empty if it doesn't say that it is brittle.
/// @param now current time.
/// @return whether this was not known.
bool declareBrittle(declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started, std::optional<double> rejections, Common::instant now);

/// @return the declarations of this start of the endpoint; null when there are none.
const declaration* findDeclaration(const declaration_map& declarations, const Common::endpoint_id& id, Fleet::start_time started);

} // namespace Scheduling
