#pragma once

/// @file
/// Limits the retries at a service over a sliding window to a ratio of its requests plus a constant that is divided
/// among all nodes. Reads no clock and no socket.

#include "Common/Ids.h"

#include <deque>
#include <map>

namespace Limits {

/// Limits that apply to every service.
struct service_retry_rules {
    double ratio { 0.2 }; ///< Retries per request.
    double slack { 0 }; ///< Retries allowed in addition, for all nodes together.
    std::chrono::milliseconds window { 10000 };
};

/// Times of the requests and retries of one service at this node within the window, oldest first.
struct service_traffic {
    std::deque<Common::instant> requests;
    std::deque<Common::instant> retries;
};

/// The retry budgets of all services at this node.
struct service_retry_budgets {
    service_retry_rules rules;
    size_t nodes { 1 }; ///< Nodes that may be sending retries at the same time; 0 counts as 1.
    std::map<Common::service_name, service_traffic> services;
};

/// Counts a caller's request to a service; retries are not counted here.
void countRequest(service_retry_budgets& budgets, const Common::service_name& service, Common::instant now);

/// @return whether a request to the service may be retried now; if so, the retry is counted.
bool spendServiceRetry(service_retry_budgets& budgets, const Common::service_name& service, Common::instant now);

} // namespace Limits
