#pragma once

/// @file
/// Caller of the soak: looks up nodes in the directory, reuses connections, sends requests and records the answers.

#include "Common/Random.h"
#include "Faults/PromiseChecker.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Faults {

/// Loopback ports at which callers reach one node.
struct node_ports {
    int number { 0 }; ///< Of the node, from 1.
    uint16_t directoryPort { 0 };
    uint16_t callerPort { 0 }; ///< The node's own port, as listed in directory answers.
    uint16_t proxyPort { 0 }; ///< The proxy in front of the node; callers connect to this one.
};

struct caller_settings {
    int number { 0 }; ///< Starts at 1; part of the request ids.
    uint64_t seed { 0 };
    std::vector<node_ports> nodes;
    std::function<bool()> shouldStop;
    std::function<uint64_t()> newestCatalogVersion;
    bool usesLimitedKey { false };
};

/// Sends requests one at a time until settings.shouldStop returns true.
/// @param checker records each request and answer.
void runCaller(const caller_settings& settings, promise_checker& checker);

} // namespace Faults
