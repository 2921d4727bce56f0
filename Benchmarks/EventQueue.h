#pragma once

/// @file
/// Event queue of the simulation: a virtual clock and tasks that run in order of time; tasks of the same time run in
/// the order in which they were scheduled.

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Measure {

class event_queue {
public:
    /// Schedules a task.
    /// @param time virtual time at which it runs, in seconds.
    /// @param run the task.
    void at(double time, std::function<void()> run)
    {
        m_events.push({ time, ++m_scheduledCount, std::move(run) });
    }

    /// Runs the tasks up to and including a time, also those that are scheduled meanwhile.
    /// @param end virtual time in seconds.
    void runUntil(double end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const timed_event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    /// @return the current virtual time in seconds.
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
    uint64_t m_scheduledCount { 0 };
    double m_now { 0 };
};

} // namespace Measure
