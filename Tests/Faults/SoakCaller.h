#pragma once

/// @file
/// A caller of the soak: asks the directory, keeps connections, sends requests and reports what it sees.

#include "Common/Random.h"
#include "Faults/PromiseChecker.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Faults {

/// One node as callers reach it.
struct node_doors {
    int number { 0 };
    uint16_t directory { 0 };
    uint16_t callers { 0 }; ///< As the directory names it.
    uint16_t proxied { 0 }; ///< The proxy in front of it.
};

struct caller_settings {
    int number { 0 };
    uint64_t seed { 0 };
    std::vector<node_doors> nodes;
    std::function<bool()> isOver;
    std::function<uint64_t()> newestVersion;
    bool usesLimitedKey { false };
};

/// Sends requests one after the other until the run is over.
/// @param settings who it is and whom it asks.
/// @param checker told of each request and answer.
void runCaller(const caller_settings& settings, promise_checker& checker);

} // namespace Faults
