#include "Gateway/Leaving.h"

#include "Common/Log.h"
#include "Gateway/GatewayState.h"

namespace Gateway {

namespace {

    /// Callers may use a directory answer for up to three times its lifetime.
    constexpr double acceptingShareOfGrace = 0.75;
    /// Requests in progress may take this share of the grace period; what hasn't ended then is answered as expired.
    constexpr double lastRequestShareOfGrace = 0.93;
    /// Connections may be closed until then; the rest is for ending the process.
    constexpr double lastShareOfGrace = 0.96;
    constexpr milliseconds checkInterval { 10 };

} // namespace

const char* nameOf(leaving_phase phase)
{
    switch (phase) {
    case leaving_phase::Accepting:
        return "accepting";
    case leaving_phase::Refusing:
        return "refusing";
    case leaving_phase::Closing:
        return "closing";
    case leaving_phase::Ended:
        return "ended";
    }
    return "";
}

leaving_phase nextPhase(leaving_phase phase, const remaining_work& work, milliseconds elapsed, milliseconds grace)
{
    const bool isLastForRequests = elapsed >= grace * lastRequestShareOfGrace;
    const bool isLast = elapsed >= grace * lastShareOfGrace;
    if (phase == leaving_phase::Accepting && elapsed >= grace * acceptingShareOfGrace)
        return leaving_phase::Refusing;
    if (phase == leaving_phase::Refusing && (isLastForRequests || work.requests == 0))
        return leaving_phase::Closing;
    if (phase == leaving_phase::Closing && (isLast || work.connections == 0))
        return leaving_phase::Ended;
    return phase;
}

leaving_sequence::leaving_sequence(boost::asio::io_context& context, gateway_state& state)
    : m_state(state)
    , m_timer(context)
{
}

void leaving_sequence::start(leaving_actions actions)
{
    m_actions = std::move(actions);
    advance();
}

void leaving_sequence::advance()
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - *m_state.leavingSince);
    const leaving_phase next = nextPhase(m_state.leavingPhase, m_actions.measure(), elapsed, m_state.grace);
    if (next != m_state.leavingPhase)
        enter(next);
    if (next == leaving_phase::Ended)
        return;
    if (next == leaving_phase::Closing)
        m_actions.closeIdleConnections();
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            advance();
    });
}

void leaving_sequence::enter(leaving_phase phase)
{
    m_state.leavingPhase = phase;
    const remaining_work work = m_actions.measure();
    Common::logEvent(Common::log_level::Info, "leaving_phase_begun", { { "phase", nameOf(phase) }, { "requests", work.requests }, { "connections", work.connections } });
    if (phase == leaving_phase::Refusing)
        m_actions.stopAccepting();
    if (phase == leaving_phase::Closing) {
        m_actions.closeListener();
        m_actions.expireRequests();
    }
    if (phase == leaving_phase::Ended)
        m_actions.end();
}

} // namespace Gateway
