#pragma once

/// @file
/// Counts usage: writes this node's counts to the store and, while it holds the lease, reports all nodes' counts to the
/// cloud.

#include "Control/ControlContext.h"
#include "Control/CountRelay.h"
#include "Control/UsageReporter.h"

namespace Control {

struct usage_tracker {
    control_context& context;
    Usage::usage_counter counter {};
    usage_reporter reporter {};
    std::vector<Usage::begun_request> unassigned {}; ///< Not assigned to a window yet; kept until true time is known.
    bool isEraNew { false }; ///< The store has begun a new era that the reporter doesn't know yet.
    bool isWriting { false }; ///< A write of counts is in progress.
    Common::instant nextWrite {};
    count_sender sender {}; ///< Counts that the zone's relay writes for this node.
};

/// Counts to send to the zone's relay.
struct counts_message {
    Common::node_id relay;
    relayed_counts counts;
};

/// Begins a new era of the store: counts that it had acknowledged may be gone and are written again.
void beginEra(usage_tracker& tracker);

/// Assigns the gateway's requests to windows and counts them, once true time is known. Tells the reporter of a new era.
void assignRequests(usage_tracker& tracker, Common::instant now);

/// Writes this node's counts to the store when a write is due, by way of the relay if there is one.
/// @param tracker the counts.
/// @param relay the zone's relay, if it is known to work.
/// @param now current time.
/// @return the message that the caller must send to the relay, if any.
std::optional<counts_message> writeCounts(usage_tracker& tracker, const std::optional<Common::node_id>& relay, Common::instant now);

/// Marks the counts as written that the relay has confirmed.
void confirmCounts(usage_tracker& tracker, count_sequence sequence);

/// Starts the next step of a usage report. Only the lease holder may call this.
void reportUsage(usage_tracker& tracker, Common::instant now);

} // namespace Control
