#pragma once

/// @file
/// What operators ask a node: changes of the configuration, status, audit trail and explanations.

#include "Audit/AuditDuty.h"
#include "Configuration/VersionChain.h"
#include "Entry/CallerApi.h"
#include "Membership/Model.h"

#include <variant>

namespace Entry {

/// What a node knows of itself and its surroundings, for the status page.
struct node_status {
    Common::node_id node;
    Common::zone_name zone;
    Common::region_name region;
    bool isLeaving { false };
    Common::config_version configuration;
    Membership::member_map members;
    Endpoints::endpoint_list endpoints;
};

/// An answer that needs no other duty.
struct operator_answer {
    int status { 200 };
    std::string body;
};

/// What an operator's request comes to.
using operator_request = std::variant<operator_answer, Configuration::proposal, Audit::explain_query, Audit::trail_query>;

/// @param operatorKey the key that operators present.
/// @param status what the node knows.
/// @param directory the configuration in force.
/// @param request a request below the operators' path.
/// @return the answer, or the message to the duty that has it.
operator_request parseOperatorRequest(const std::string& operatorKey, const node_status& status, const caller_directory& directory,
    const Http::incoming_request& request);

constexpr std::string_view operatorPrefix = "/operator/v1/";

} // namespace Entry
