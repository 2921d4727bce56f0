#pragma once

/// @file
/// Parses operators' HTTP requests: configuration changes, node status, audit trail and explanations of requests.

#include "Audit/AuditDuty.h"
#include "Configuration/VersionChain.h"
#include "Entry/CallerApi.h"
#include "Membership/Model.h"

#include <variant>

namespace Entry {

/// State of this node and of the members and endpoints that it sees, for the status response.
struct node_status {
    Common::node_id node;
    Common::zone_name zone;
    Common::region_name region;
    bool isLeaving { false }; ///< Whether the node is shutting down and must not get new callers.
    Common::config_version configuration;
    Membership::member_map members;
    Endpoints::endpoint_list endpoints; ///< Null until the first list arrives.
};

/// A response that the entry duty can send without another duty.
struct operator_answer {
    int status { 200 };
    std::string body;
};

/// A parsed operator request: a response, or a message for the configuration or audit duty.
using operator_request = std::variant<operator_answer, Configuration::proposal, Audit::explain_query, Audit::trail_query>;

/// @param operatorKey the operators' key; when empty, every request is rejected.
/// @param status state of the node.
/// @param indexed the current configuration.
/// @param request a request to a path under operatorPrefix.
/// @return the response, or the message to the duty that will produce it.
operator_request parseOperatorRequest(const std::string& operatorKey, const node_status& status, const indexed_configuration& indexed,
    const Http::incoming_request& request);

constexpr std::string_view operatorPrefix = "/operator/v1/";

} // namespace Entry
