#pragma once

/// @file
/// One node on the users' platform: its duties, the threads that run them and the rings between them.

#include "Fleet/NodeFacts.h"

#include <memory>

namespace Filbertreeld {

class platform_node {
public:
    explicit platform_node(const Fleet::node_facts& facts);
    ~platform_node();
    platform_node(const platform_node&) = delete;
    platform_node& operator=(const platform_node&) = delete;

    /// Starts a thread for each duty.
    void start();
    /// Applies settings that have changed since the start.
    void reload(const Fleet::node_facts& facts);
    /// Updates the directory and reports nodes that have been dead for long enough to be removed. Must be called about
    /// once a second.
    void checkPeers();
    /// Shuts down gracefully: removes this node from the directory, keeps serving callers that may still use its
    /// address, then lets requests in progress finish. Blocks until none is left or the grace period is nearly over.
    void leave();
    /// Stops all duties and joins their threads.
    void stop();
    /// @return whether a duty ended with an exception.
    bool hasFailed() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Runs a node until a stop signal, with the settings file that the environment variable names.
/// @return the process's exit code.
int runPlatformNode();

} // namespace Filbertreeld
