#pragma once

/// @file
/// Where a request may be served: the home regions of its route and of its client account, both of which bind. Every
/// decision that sends a request or its body to another machine asks here. Reads no clock and no socket.

#include "Gateway/Call.h"
#include "Gateway/GatewayState.h"

#include <optional>
#include <set>

namespace Gateway {

/// The regions in which a request may be served; std::nullopt: in any.
using allowed_regions = std::optional<std::set<Common::region_name>>;

/// @param route the request's route.
/// @param account its client account; null if it has none.
/// @return the regions that both allow; empty if they have none in common.
allowed_regions combineHomes(const Catalog::route& route, const Catalog::account* account);

/// @param state the catalog in force, which may be newer than the request.
/// @param call an admitted request.
/// @return the regions in which it may be served from now on.
allowed_regions findAllowedRegions(const gateway_state& state, const proxied_call& call);

/// @param own location of this node, with the region of each availability zone.
/// @return whether the request's body may be sent to a node in the zone. The caller's own region isn't known for certain, so
/// only homes count.
bool maySendBody(const Scheduling::location& own, const allowed_regions& allowed, const Common::zone_name& zone);

} // namespace Gateway
