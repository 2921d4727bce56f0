#pragma once

/// @file
/// Bounds what the requests of all callers hold in memory, and how many connections callers keep open. Each caller may stay
/// within the limits of a single request while all of them together fill the process. Reads no clock and no socket.

#include "Catalog/Catalog.h"
#include "Fleet/NodeFacts.h"

#include <optional>
#include <unordered_map>

namespace Gateway {

/// Identifies a connection of a caller within this process.
using connection_id = Common::strong_type<struct connection_id_tag, uint64_t>;

struct input_bounds {
    size_t bytes { 0 }; ///< Of all requests that are being read or answered.
    size_t connections { 0 };
};

/// What a caller's connection is used for.
enum class input_stage {
    Unused, ///< No request has begun on it yet.
    Reading,
    Answering,
    Idle, ///< Between two requests.
};

struct input_holding {
    input_stage stage { input_stage::Unused };
    size_t bytes { 0 };
    Common::instant progressAt; ///< When the stage or the number of bytes last changed.
};

struct input_budget {
    std::unordered_map<uint64_t, input_holding> holdings; ///< By connection.
    size_t totalBytes { 0 };
};

/// @param machine what the machine grants the process.
/// @param limits on a single request; at least two of the largest requests fit.
/// @return the bounds over all callers.
input_bounds makeInputBounds(const Fleet::machine_limits& machine, const Catalog::input_limits& limits);

/// Records what a connection is used for and what its request holds.
void recordInput(input_budget& budget, connection_id id, input_stage stage, size_t bytes, Common::instant now);

/// Forgets a connection that is closed.
void releaseInput(input_budget& budget, connection_id id);

/// @return the request to refuse because all hold more than the bound: the largest of those that make no progress, else the
/// largest that is still being read. Small requests go last, and may exceed the bound somewhat. Nothing while the bound is kept,
/// or if only requests that are being answered remain.
std::optional<connection_id> chooseExcessRequest(const input_budget& budget, const input_bounds& bounds, Common::instant now);

/// @return the connection to close because there are more than the bound: the one without progress for the longest time on
/// which no request has been read, else the one that is idle longest. Nothing while the bound is kept, or if all are being answered.
std::optional<connection_id> chooseExcessConnection(const input_budget& budget, const input_bounds& bounds, Common::instant now);

} // namespace Gateway
