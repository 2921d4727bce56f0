#pragma once

/// @file
/// The rollout duty: the thread that runs the rollout decisions.

#include "Common/Mailbox.h"
#include "Rollout/Rollout.h"

#include <functional>

namespace Rollout {

/// Receivers of the duty's actions. None of the functions may block.
struct rollout_outlets {
    std::function<void(const publish_shares&)> publishShares;
    std::function<void(const broadcast_evidence&)> broadcastEvidence;
    std::function<void(const broadcast_latch&)> broadcastLatch;
    std::function<void(const propose_end&)> proposeEnd;
};

class rollout_duty {
public:
    explicit rollout_duty(rollout_outlets outlets);

    /// Queues a message; may be called from any thread.
    /// @return false when the inbox is full; the message is then left untouched.
    bool submit(rollout_message&& message);
    /// Handles messages until stop(); blocks the calling thread.
    void run();
    void stop();

private:
    void dispatch(rollout_message&& message);

    rollout_outlets m_outlets;
    Common::mailbox<rollout_message> m_inbox;
    rollout_state m_state;
};

} // namespace Rollout
