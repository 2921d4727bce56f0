#pragma once

/// @file
/// Availability zones that operators have evacuated, and endpoints that are cold: when a zone is taken back, its endpoints
/// count as cold, so that not all nodes rush to them. Reads no clock and no socket.

#include "Gateway/GatewayState.h"

namespace Gateway {

/// Limits the endpoints that the last listing calls cold, by the catalog in force.
/// @param state its shared limits are changed.
/// @param now current time.
void limitColdEndpoints(gateway_state& state, Common::instant now);

/// Applies the list of evacuated zones.
/// @param state changed in place.
/// @param zones all zones that are evacuated now.
/// @param now current time.
void setEvacuatedZones(gateway_state& state, const std::set<Common::zone_name>& zones, Common::instant now);

/// @return this node's requests that endpoints in evacuated zones still work on.
size_t countInEvacuatedZones(const gateway_state& state);

} // namespace Gateway
