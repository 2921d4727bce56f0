#pragma once

/// @file
/// Repeats of requests at a service, bounded over a sliding window as a share of its requests plus a slack that all
/// nodes divide. Pure: no clock, no socket.

#include "Common/Ids.h"

#include <deque>
#include <map>

namespace Limits {

struct repeat_rules {
    double ratio { 0.2 };
    double slack { 0 }; ///< Of all nodes together.
    std::chrono::milliseconds window { 10000 };
};

/// Requests and repeats of one service at this node within the window, oldest first.
struct service_repeats {
    std::deque<Common::instant> requests;
    std::deque<Common::instant> repeats;
};

struct repeat_budgets {
    repeat_rules rules;
    size_t nodes { 1 }; ///< Nodes that may be repeating at the same time.
    std::map<Common::service_name, service_repeats> services;
};

/// Counts a caller's request for a service.
void countRequest(repeat_budgets& budgets, const Common::service_name& service, Common::instant now);

/// @return whether a request for the service may be sent once more; counts it when it may.
bool takeRepeat(repeat_budgets& budgets, const Common::service_name& service, Common::instant now);

} // namespace Limits
