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

    /// Starts all duties.
    void start();
    /// Takes settings that were read again.
    void reload(const Fleet::node_facts& facts);
    /// Tells which peers have long been dead; to be called about once a second.
    void checkPeers();
    /// Leaves in order: out of the directory, then no new work, then out.
    /// @return when nothing is in progress any more, or when the grace ends.
    void leave();
    /// Ends all duties.
    void stop();
    /// @return whether a duty could not go on.
    bool hasFailed() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Runs a node with the settings file that the environment names until a stop signal.
/// @return the process's exit code.
int runPlatformNode();

} // namespace Filbertreeld
