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

    /// Starts a thread for each duty.
    void start();
    /// Shuts down gracefully: removes this node from the address response, stops taking new requests, then hands
    /// unfinished requests over to peers. Blocks until no request is in flight or the notice ends.
    void leave();
    /// Makes leave() hand unfinished requests over without waiting further; may be called from any thread.
    void handOverNow();
    /// Stops all duties and joins their threads.
    void stop();
    /// @return whether the cloud has announced the termination of this instance, or a duty has failed.
    bool shouldLeave() const;
    /// @return whether a duty ended with an exception, such as an address that can't be bound.
    bool hasFailed() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace Filbertreeld
