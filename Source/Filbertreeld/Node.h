#pragma once

/// @file
/// One entry node: its duties, the threads that run them and the rings between them.

#include "Filbertreeld/Settings.h"

#include <memory>

namespace Filbertreeld {

class node {
public:
    explicit node(const node_settings& settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Starts all duties.
    void start();
    /// Leaves in order: out of the address answer, then no new work, then what is left goes to peers.
    /// @return when nothing is in flight any more, or when the notice ends.
    void leave();
    /// Asks leave() to hand over at once; may be called from any thread.
    void hasten();
    /// Ends all duties.
    void stop();
    /// @return whether the cloud has announced this instance's end, or a duty has failed.
    bool shouldLeave() const;
    /// @return whether a duty could not start.
    bool hasFailed() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Filbertreeld
