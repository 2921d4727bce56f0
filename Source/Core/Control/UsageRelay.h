#pragma once

/// @file
/// Sends this node's usage counts to the relay of its zone, and writes the zone's counts while this node is the relay.

#include "Control/UsageTracker.h"

namespace Control {

struct usage_relay {
    control_context& context;
    const control_outlets& outlets;
    usage_tracker& usage;
    count_relay received {}; ///< Counts of the zone's nodes, this one included, that are to be written.
};

/// Writes this node's counts when they are due, by way of the relay if there is one.
/// @param relaying this node's part.
/// @param relay the zone's relay, if it is known to work; may be this node.
/// @param now current time.
void writeUsageCounts(usage_relay& relaying, const std::optional<Common::node_id>& relay, Common::instant now);

/// Adds the counts of another node to those that this node writes.
void addRelayedCounts(usage_relay& relaying, usage_counts_received&& message, Common::instant now);

/// Writes the received counts to the store when they are due, and confirms them to their senders.
void writeRelayedCounts(usage_relay& relaying, Common::instant now);

} // namespace Control
