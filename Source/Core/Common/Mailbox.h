#pragma once

/// @file
/// A bounded ring with a consumer that sleeps until a message or a stop arrives.

#include "Common/Ring.h"

#include <chrono>
#include <condition_variable>

namespace Common {

/// The inbox of a duty that waits for nothing but its messages and the passing of time.
/// @tparam message what the duty is told.
template <typename message>
class mailbox {
public:
    /// @param capacity the most messages that wait.
    explicit mailbox(size_t capacity)
        : m_ring(capacity)
    {
        m_ring.setWaker([this] {
            const std::lock_guard guard(m_mutex);
            m_hasWork = true;
            m_awake.notify_one();
        });
    }

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    [[nodiscard]] bool push(message& item)
    {
        return m_ring.push(item);
    }

    /// Waits for a message, for stop() or for the time to pass, then takes all messages.
    /// @param longest the longest wait.
    /// @param batch cleared and filled.
    /// @return false once stop() was called.
    bool waitInto(std::chrono::milliseconds longest, std::vector<message>& batch)
    {
        {
            std::unique_lock lock(m_mutex);
            m_awake.wait_for(lock, longest, [this] { return m_hasWork || m_isStopping; });
            m_hasWork = false;
        }
        m_ring.drainInto(batch);
        const std::lock_guard guard(m_mutex);
        return !m_isStopping;
    }

    /// Ends the consumer's waiting for good; may be called from any thread.
    void stop()
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
        m_awake.notify_one();
    }

private:
    ring<message> m_ring;
    std::mutex m_mutex;
    std::condition_variable m_awake;
    bool m_hasWork { false };
    bool m_isStopping { false };
};

} // namespace Common
