#pragma once

/// @file
/// The rollout duty: the thread that runs the rollout decisions.

#include "Common/Mailbox.h"
#include "Rollout/Rollout.h"

#include <functional>

namespace Rollout {

/// Where the duty's actions go. None of them blocks.
struct rollout_outlets {
    std::function<void(const publish_shares&)> publishShares;
    std::function<void(const tell_evidence&)> tellEvidence;
    std::function<void(const tell_latch&)> tellLatch;
    std::function<void(const propose_end&)> proposeEnd;
};

class rollout_duty {
public:
    explicit rollout_duty(rollout_outlets outlets);

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(rollout_message&& message);
    /// Serves until stop().
    void run();
    void stop();

private:
    void dispatch(rollout_message&& message);

    rollout_outlets m_outlets;
    Common::mailbox<rollout_message> m_inbox;
    rollout_state m_state;
};

} // namespace Rollout
