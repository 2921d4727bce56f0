#pragma once

/// @file
/// A virtual clock with tasks in order of time, and of their scheduling within one time.

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Measure {

class event_queue {
public:
    /// Schedules a task at a time in seconds.
    void at(double time, std::function<void()> run)
    {
        m_events.push({ time, ++m_order, std::move(run) });
    }

    /// Runs all tasks up to a time.
    void runUntil(double end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const timed_event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    /// @return the virtual time in seconds.
    double now() const { return m_now; }

private:
    struct timed_event {
        double at { 0 };
        uint64_t order { 0 };
        std::function<void()> run;

        bool operator<(const timed_event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    std::priority_queue<timed_event> m_events;
    uint64_t m_order { 0 };
    double m_now { 0 };
};

} // namespace Measure
