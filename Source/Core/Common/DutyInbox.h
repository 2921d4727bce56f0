#pragma once

/// @file
/// The inbox of a duty. Messages that tell a state have a place of their own, in which the newest replaces the one before,
/// so that no state is lost however long the duty's thread stands still. All other messages are events: they go through a
/// bounded ring, and a full ring rejects them.

#include "Common/Ring.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <type_traits>
#include <variant>

namespace Common {

/// Tells whether a newer message takes the place of an older one. Overloaded for types of which several can hold.
template <typename state>
bool hasSameSubject(const state&, const state&)
{
    return true;
}

/// Overloaded for types of which a newer message doesn't tell all that the older one did.
template <typename state>
void replaceState(state& older, state newer)
{
    older = std::move(newer);
}

/// @tparam message a std::variant of the duty's messages.
/// @tparam states those of its alternatives that tell a state, in the order in which they are handled.
template <typename message, typename... states>
class duty_inbox {
public:
    /// @param ringCapacity maximum number of queued events.
    explicit duty_inbox(size_t ringCapacity)
        : m_events(ringCapacity)
    {
    }

    /// @param wake called when a message arrives in an empty inbox; must not block or use it.
    void setWaker(std::function<void()> wake)
    {
        const std::lock_guard guard(m_mutex);
        m_wake = wake;
        m_events.setWaker(std::move(wake));
    }

    /// @param item the message; moved from when it is taken.
    /// @return whether it was taken; a message that tells a state always is.
    [[nodiscard]] bool push(message& item)
    {
        const bool isState = std::visit([this](auto& alternative) { return putIfState(alternative); }, item);
        return isState || m_events.push(item);
    }

    /// Removes all messages.
    /// @param batch replaced by the removed messages: states first, so that an event meets no older state than its sender
    /// knew.
    void drainInto(std::vector<message>& batch)
    {
        // The events come out first: what was put before any of them is then among the states.
        std::vector<message> events;
        m_events.drainInto(events);
        batch.clear();
        const std::lock_guard guard(m_mutex);
        (takeStates<states>(batch), ...);
        m_hasStates = false;
        batch.insert(batch.end(), std::make_move_iterator(events.begin()), std::make_move_iterator(events.end()));
    }

private:
    template <typename type>
    bool putIfState(type& item)
    {
        if constexpr ((std::is_same_v<type, states> || ...)) {
            put(std::move(item));
            return true;
        }
        return false;
    }

    template <typename state>
    void put(state item)
    {
        const std::lock_guard guard(m_mutex);
        auto& held = std::get<std::vector<state>>(m_states);
        const auto older = std::find_if(held.begin(), held.end(), [&item](const state& known) { return hasSameSubject(known, item); });
        if (older == held.end())
            held.push_back(std::move(item));
        else
            replaceState(*older, std::move(item));
        const bool wasEmpty = !std::exchange(m_hasStates, true);
        if (wasEmpty && m_wake)
            m_wake();
    }

    template <typename state>
    void takeStates(std::vector<message>& batch)
    {
        auto& held = std::get<std::vector<state>>(m_states);
        for (state& item : held)
            batch.push_back(std::move(item));
        held.clear();
    }

    std::mutex m_mutex;
    std::tuple<std::vector<states>...> m_states;
    bool m_hasStates { false };
    std::function<void()> m_wake;
    ring<message> m_events;
};

} // namespace Common
