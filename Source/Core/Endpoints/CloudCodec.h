#pragma once

/// @file
/// Decodes the cloud's list of instances and the endpoints' load reports from JSON. No other file knows their fields.

#include "Common/Failure.h"
#include "Endpoints/Model.h"

#include <string>
#include <vector>

namespace Endpoints {

/// @param body the cloud's answer.
/// @return the instances, without entries that can't be parsed; a failure when the answer holds no list.
Common::result<std::vector<instance_info>> parseInstances(const std::string& body);

/// @param instances the instances to send to a peer.
/// @return JSON that parseInstances parses.
std::string encodeInstances(const std::vector<instance_info>& instances);

/// @param id the endpoint that was polled.
/// @param body its answer.
/// @return its load; a failure when the answer lacks a field or has another type.
Common::result<load_report> parseLoad(const Common::endpoint_id& id, const std::string& body);

} // namespace Endpoints
