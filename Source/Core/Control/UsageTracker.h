#pragma once

/// @file
/// Counts usage: writes this node's counts to the store and, while it holds the lease, reports all nodes' counts to the
/// cloud.

#include "Control/ControlContext.h"
#include "Control/UsageReporter.h"

namespace Control {

struct usage_tracker {
    control_context& context;
    Usage::usage_counter counter {};
    usage_reporter reporter {};
    std::vector<Usage::begun_request> unassigned {}; ///< Not assigned to a window yet; kept until true time is known.
    bool isWriting { false }; ///< A write of counts is in progress.
    Common::instant nextWrite {};
};

/// Assigns the gateway's requests to windows and counts them, once true time is known.
void assignRequests(usage_tracker& tracker, Common::instant now);

/// Writes this node's counts to the store when a write is due.
void writeCounts(usage_tracker& tracker, Common::instant now);

/// Starts the next step of a usage report. Only the lease holder may call this.
void reportUsage(usage_tracker& tracker, Common::instant now);

} // namespace Control
