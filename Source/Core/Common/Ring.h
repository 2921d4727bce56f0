#pragma once

/// @file
/// The bounded ring that joins two duties. A full ring refuses at once; it never blocks its producer.

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace Common {

/// A bounded ring with many producers and one consumer.
/// @tparam message what one duty tells another.
template <typename message>
class ring {
public:
    /// @param capacity the most messages that wait.
    explicit ring(size_t capacity)
        : m_waiting(capacity)
    {
    }

    /// @param wake called after a message arrives in an empty ring; must not block.
    void setWaker(std::function<void()> wake)
    {
        const std::lock_guard guard(m_mutex);
        m_wake = std::move(wake);
    }

    /// @param item the message; moved from when it is taken, left untouched when the ring is full.
    /// @return whether the message was taken.
    [[nodiscard]] bool push(message& item)
    {
        const std::lock_guard guard(m_mutex);
        if (m_waiting.full()) {
            ++m_refused;
            return false;
        }
        const bool wasEmpty = m_waiting.empty();
        m_waiting.push_back(std::move(item));
        if (wasEmpty && m_wake)
            m_wake();
        return true;
    }

    /// Moves all waiting messages out, oldest first.
    /// @param batch cleared and filled.
    void drainInto(std::vector<message>& batch)
    {
        batch.clear();
        const std::lock_guard guard(m_mutex);
        for (message& item : m_waiting)
            batch.push_back(std::move(item));
        m_waiting.clear();
    }

    /// @return how many messages were refused since the start.
    uint64_t refused() const
    {
        const std::lock_guard guard(m_mutex);
        return m_refused;
    }

private:
    mutable std::mutex m_mutex;
    boost::circular_buffer<message> m_waiting;
    std::function<void()> m_wake;
    uint64_t m_refused { 0 };
};

} // namespace Common
