#pragma once

/// @file
/// Usage on its way: this node's counts to the store, and all nodes' counts to the cloud where this node holds the lease.

#include "Control/ControlContext.h"
#include "Control/UsageReporter.h"

namespace Control {

struct usage_keeper {
    control_context& context;
    Usage::usage_counter counter {};
    usage_reporter reporter {};
    std::vector<Usage::begun_request> unplaced {}; ///< Begun before true time was known.
    bool isWriting { false };
    Common::instant nextWrite {};
};

/// Counts what the gateway has seen, once true time is known.
void countBegun(usage_keeper& keeper, Common::instant now);

/// Writes this node's counts to the store when they are due.
void writeCounts(usage_keeper& keeper, Common::instant now);

/// Takes the next step of a report; only the holder of the lease may.
void reportUsage(usage_keeper& keeper, Common::instant now);

} // namespace Control
