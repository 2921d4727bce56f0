#pragma once

/// @file
/// The bounded message queue between duties. A full ring rejects a message at once and never blocks its producer.

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace Common {

/// A bounded ring with many producers and one consumer.
/// @tparam message type of the queued messages.
template <typename message>
class ring {
public:
    /// @param capacity maximum number of queued messages.
    explicit ring(size_t capacity)
        : m_messages(capacity)
    {
    }

    /// @param wake called with the ring locked when a message arrives in an empty ring; must not block or use it.
    void setWaker(std::function<void()> wake)
    {
        const std::lock_guard guard(m_mutex);
        m_wake = std::move(wake);
    }

    /// @param item the message; moved from when it is queued, unchanged when the ring is full.
    /// @return whether the message was queued.
    [[nodiscard]] bool push(message& item)
    {
        const std::lock_guard guard(m_mutex);
        if (m_messages.full()) {
            ++m_refused;
            return false;
        }
        const bool wasEmpty = m_messages.empty();
        m_messages.push_back(std::move(item));
        if (wasEmpty && m_wake)
            m_wake();
        return true;
    }

    /// Removes all queued messages.
    /// @param batch replaced by the removed messages, oldest first.
    void drainInto(std::vector<message>& batch)
    {
        batch.clear();
        const std::lock_guard guard(m_mutex);
        for (message& item : m_messages)
            batch.push_back(std::move(item));
        m_messages.clear();
    }

    /// @return number of messages rejected because the ring was full, since its construction.
    uint64_t refused() const
    {
        const std::lock_guard guard(m_mutex);
        return m_refused;
    }

private:
    mutable std::mutex m_mutex;
    boost::circular_buffer<message> m_messages;
    std::function<void()> m_wake;
    uint64_t m_refused { 0 };
};

} // namespace Common
