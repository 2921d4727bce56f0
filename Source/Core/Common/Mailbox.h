#pragma once

/// @file
/// A bounded ring whose consumer sleeps until a message arrives or stop() is called.

#include "Common/Ring.h"

#include <chrono>
#include <condition_variable>

namespace Common {

/// The inbox of a duty that waits only for messages and for time to pass.
/// @tparam message type of the duty's messages.
template <typename message>
class mailbox {
public:
    /// @param capacity maximum number of queued messages.
    explicit mailbox(size_t capacity)
        : m_ring(capacity)
    {
        m_ring.setWaker([this] {
            const std::lock_guard guard(m_mutex);
            m_hasWork = true;
            m_condition.notify_one();
        });
    }

    /// Queues a message; may be called from any thread.
    /// @param item the message; moved from when it is queued, unchanged when the ring is full.
    /// @return whether the message was queued.
    [[nodiscard]] bool push(message& item)
    {
        return m_ring.push(item);
    }

    /// Waits for a message, for stop() or for the timeout, then removes all queued messages.
    /// @param timeout maximum time to wait.
    /// @param batch replaced by the removed messages, oldest first.
    /// @return false once stop() was called.
    bool waitInto(std::chrono::milliseconds timeout, std::vector<message>& batch)
    {
        {
            std::unique_lock lock(m_mutex);
            m_condition.wait_for(lock, timeout, [this] { return m_hasWork || m_isStopping; });
            m_hasWork = false;
        }
        m_ring.drainInto(batch);
        const std::lock_guard guard(m_mutex);
        return !m_isStopping;
    }

    /// Wakes the consumer; waitInto() returns false from then on. May be called from any thread.
    void stop()
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
        m_condition.notify_one();
    }

private:
    ring<message> m_ring;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_hasWork { false };
    bool m_isStopping { false };
};

} // namespace Common
