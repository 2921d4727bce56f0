#pragma once

/// @file
/// Identifiers and units shared by several modules.

#include "Common/StrongType.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Common {

using node_id = strong_type<struct node_id_tag, std::string>;
using endpoint_id = strong_type<struct endpoint_id_tag, std::string>;
using account_id = strong_type<struct account_id_tag, std::string>;
using class_name = strong_type<struct class_name_tag, std::string>;
using request_id = strong_type<struct request_id_tag, std::string>;
using zone_name = strong_type<struct zone_name_tag, std::string>;
using region_name = strong_type<struct region_name_tag, std::string>;
using service_name = strong_type<struct service_name_tag, std::string>;
using route_name = strong_type<struct route_name_tag, std::string>;
using version_name = strong_type<struct version_name_tag, std::string>;

/// Number of times a node has started or has refuted a false report of its death.
using incarnation_number = strong_type<struct incarnation_tag, uint64_t>;
/// Sequence number of a configuration change; zero is the empty configuration before the first change.
using config_version = strong_type<struct config_version_tag, uint64_t>;
/// Identifies a caller's request that waits for a response from this node; local to the process.
using caller_token = strong_type<struct caller_token_tag, uint64_t>;
/// Number of one attempt to run a request on an endpoint; unique within a node incarnation.
using attempt_number = strong_type<struct attempt_number_tag, uint64_t>;

/// Money in millionths of the currency unit in which operators write prices.
using micro_money = strong_type<struct micro_money_tag, int64_t>;

/// Monotonic time. Decision functions take it as an argument and never read a clock.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
/// Wall-clock milliseconds since the epoch, for records that outlive a process.
using wall_time = strong_type<struct wall_time_tag, int64_t>;

} // namespace Common
