#pragma once

/// @file
/// The phases in which a leaving gateway comes to its end.

#include "Common/Ids.h"

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Gateway {

struct gateway_state;

enum class leaving_phase {
    Accepting, ///< Takes requests that can be finished; callers may still use the node's address.
    Refusing, ///< Refuses each request that arrives, until those in progress have ended.
    Closing, ///< No new connections; closes each open one once nothing is unread or unanswered on it.
    Ended, ///< The process may stop.
};

/// What a leaving gateway still has to do.
struct remaining_work {
    size_t requests { 0 }; ///< In progress.
    size_t connections { 0 }; ///< Of callers, until both sides have closed them.
};

/// @return the name of the phase in log lines.
const char* nameOf(leaving_phase phase);

/// @param phase the current phase.
/// @param work what remains to be done.
/// @param elapsed time since the node began to leave.
/// @param grace time from then until the process is killed.
/// @return the phase that follows now, or the current one.
leaving_phase nextPhase(leaving_phase phase, const remaining_work& work, std::chrono::milliseconds elapsed, std::chrono::milliseconds grace);

/// What a leaving_sequence does at its owner. All must be set.
struct leaving_actions {
    std::function<remaining_work()> measure;
    std::function<void()> stopAccepting; ///< The phase Refusing begins.
    std::function<void()> closeListener; ///< Takes the connections that wait to be accepted, and no later ones.
    std::function<void()> expireRequests; ///< Answers what is still in progress when its time is over.
    std::function<void()> closeIdleConnections;
    std::function<void()> end;
};

/// Leads a gateway through the phases, on its thread.
class leaving_sequence {
public:
    leaving_sequence(boost::asio::io_context& context, gateway_state& state);

    /// @param actions called as the phases begin; closeIdleConnections repeatedly.
    void start(leaving_actions actions);

private:
    void advance();
    void enter(leaving_phase phase);

    gateway_state& m_state;
    boost::asio::steady_timer m_timer;
    leaving_actions m_actions;
};

} // namespace Gateway
