#pragma once

/// @file
/// The cloud's list of instances and the engines' load reports in JSON: the only file that knows their members.

#include "Common/Failure.h"
#include "Endpoints/Model.h"

#include <string>
#include <vector>

namespace Endpoints {

/// @param body the cloud's answer.
/// @return the instances; entries that can't be read are left out.
Common::result<std::vector<instance_info>> parseInstances(const std::string& body);

/// @param instances some instances.
/// @return them in the form that parseInstances reads.
std::string encodeInstances(const std::vector<instance_info>& instances);

/// @param id the endpoint that was asked.
/// @param body its answer.
/// @return its load.
Common::result<load_report> parseLoad(const Common::endpoint_id& id, const std::string& body);

} // namespace Endpoints
