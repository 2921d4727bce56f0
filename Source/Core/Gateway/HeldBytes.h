#pragma once

/// @file
/// How many bytes of endpoints' responses a gateway holds, so that faulty endpoints can't fill the memory of its process.

#include "Fleet/NodeFacts.h"
#include "Gateway/Call.h"

#include <memory>
#include <unordered_map>

namespace Gateway {

/// What the responses in progress hold.
struct held_bytes {
    size_t total { 0 };
    const proxied_call* largest { nullptr }; ///< The request whose response holds the most; null if none holds any.
    size_t largestBytes { 0 };
};

/// The bytes held are summed up each time that this part of the limit has arrived, as the sum costs time per request.
constexpr size_t sumsPerLimit = 16;

/// @param limits what the machine grants the process.
/// @return how many bytes of responses it may hold.
size_t maxHeldBytes(const Fleet::machine_limits& limits);

/// @param calls the requests in progress.
/// @return the sum over bodies that are collected whole, events that aren't complete, and events that callers haven't read.
held_bytes sumHeldBytes(const std::unordered_map<caller_session*, std::unique_ptr<proxied_call>>& calls);

/// Logs that the responses hold more than the limit, and which request's response is ended for it.
void logHeldTooMuch(const proxied_call& call, const held_bytes& held);

} // namespace Gateway
