#include "Dispatch/DispatchDuty.h"

#include "Common/Log.h"
#include "Common/Metrics.h"

namespace Dispatch {

namespace {

    constexpr size_t ringCapacity = 65536;
    constexpr std::chrono::milliseconds tickInterval { 50 };
    constexpr long statusOk = 200;

    clock_reading readClock()
    {
        return { std::chrono::steady_clock::now(), { Common::wallClockMilliseconds() } };
    }

} // namespace

dispatch_duty::dispatch_duty(dispatch_state initial, dispatch_outlets outlets)
    : m_state(std::move(initial))
    , m_outlets(std::move(outlets))
    , m_inbox(ringCapacity)
{
    m_inbox.setWaker([this] { m_client.wake(); });
}

bool dispatch_duty::submit(dispatch_message&& message)
{
    return m_inbox.push(message);
}

size_t dispatch_duty::unfinished() const
{
    return m_unfinished;
}

void dispatch_duty::run()
{
    std::vector<dispatch_message> batch;
    Common::instant nextTick = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        m_inbox.drainInto(batch);
        for (dispatch_message& message : batch)
            dispatch(std::move(message));
        if (std::chrono::steady_clock::now() >= nextTick) {
            dispatch(dispatch_tick {});
            nextTick = std::chrono::steady_clock::now() + tickInterval;
            publishMetrics();
            m_unfinished = countUnfinished(m_state);
        }
        // Flushed before poll() too: poll() may wait for the next endpoint event and must not delay these actions.
        flushToCallers();
        m_client.poll(tickInterval);
        for (dispatch_message& message : std::exchange(m_endpointMessages, {}))
            dispatch(std::move(message));
        flushToCallers();
    }
}

void dispatch_duty::flushToCallers()
{
    if (!m_callerActions.empty() && m_outlets.sendToCallers(m_callerActions))
        m_callerActions.clear();
}

void dispatch_duty::stop()
{
    m_isStopping = true;
    m_client.wake();
}

void dispatch_duty::dispatch(dispatch_message&& message)
{
    std::vector<dispatch_action> actions = stepDispatch(m_state, std::move(message), readClock());
    for (dispatch_action& action : actions)
        std::visit([this](auto& item) { perform(item); }, action);
}

template <typename action_type>
void dispatch_duty::perform(action_type& action)
{
    m_callerActions.emplace_back(std::move(action));
}

void dispatch_duty::perform(start_attempt& action)
{
    Http::outgoing_request request;
    request.method = "POST";
    request.url = "http://" + action.address + action.path;
    request.headers = { { "Content-Type", "application/json" } };
    if (!action.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", action.idempotencyKey });
    request.body = std::move(action.body);
    request.timeLimit = action.timeLimit;
    request.mayRepeat = action.mayRepeat;
    request.mayShareConnection = false;
    const Common::attempt_number attempt = action.attempt;
    const auto onEnd = [this, attempt, isModelWork = action.isModelWork](Http::transfer_answer&& answer) {
        endAttempt(attempt, isModelWork, std::move(answer));
    };
    Http::client::data_handler onData;
    if (action.isModelWork)
        onData = [this, attempt](long status, std::string_view bytes) { handleEngineBytes(attempt, status, bytes); };
    m_transfers[attempt.value].transfer = m_client.start(std::move(request), onEnd, onData);
}

void dispatch_duty::handleEngineBytes(Common::attempt_number attempt, long status, std::string_view bytes)
{
    const auto found = m_transfers.find(attempt.value);
    if (found == m_transfers.end() || status != statusOk)
        return;
    std::vector<std::string> texts = readEngineBytes(found->second.stream, bytes);
    // libcurl forbids removing a transfer from inside its own callback, so the decisions are made after poll().
    if (!texts.empty())
        m_endpointMessages.push_back(attempt_tokens { attempt, std::move(texts) });
}

void dispatch_duty::endAttempt(Common::attempt_number attempt, bool isModelWork, Http::transfer_answer&& answer)
{
    const auto found = m_transfers.find(attempt.value);
    if (found == m_transfers.end())
        return;
    attempt_ended message { attempt, answer.end, static_cast<int>(answer.status), std::move(answer.body), {} };
    if (isModelWork && !found->second.stream.isMalformed)
        message.finishReason = found->second.stream.finishReason;
    m_transfers.erase(found);
    m_endpointMessages.push_back(std::move(message));
}

void dispatch_duty::perform(cancel_attempt& action)
{
    const auto found = m_transfers.find(action.attempt.value);
    if (found == m_transfers.end())
        return;
    m_client.cancel(found->second.transfer);
    m_transfers.erase(found);
}

void dispatch_duty::perform(pause_attempt& action)
{
    const auto found = m_transfers.find(action.attempt.value);
    if (found != m_transfers.end())
        m_client.pause(found->second.transfer);
}

void dispatch_duty::perform(resume_attempt& action)
{
    const auto found = m_transfers.find(action.attempt.value);
    if (found != m_transfers.end())
        m_client.resume(found->second.transfer);
}

void dispatch_duty::perform(write_record& action)
{
    m_outlets.callTable({ Platform::table_write { { action.put } }, [this, request = action.request, step = action.step](Platform::table_reply&& reply) {
                             static_cast<void>(submit(record_reply { request, step, std::move(reply) }));
                         } });
}

void dispatch_duty::perform(read_record& action)
{
    m_outlets.callTable({ Platform::table_get { action.key }, [this, request = action.request, step = action.step](Platform::table_reply&& reply) {
                             static_cast<void>(submit(record_reply { request, step, std::move(reply) }));
                         } });
}

void dispatch_duty::perform(report_rollout_event& action)
{
    m_outlets.reportRolloutEvent(std::move(action.observed));
}

void dispatch_duty::perform(report_connection_refused& action)
{
    m_outlets.reportConnectionRefused(action.endpoint);
}

void dispatch_duty::perform(offer_transfer& action)
{
    m_outlets.offerTransfer(std::move(action.transfer));
}

void dispatch_duty::perform(accept_transfer& action)
{
    m_outlets.acceptTransfer(action);
}

void dispatch_duty::perform(confirm_held& action)
{
    m_outlets.confirmHeld(action);
}

void dispatch_duty::perform(request_event& action)
{
    m_outlets.recordEvent(action);
}

void dispatch_duty::publishMetrics() const
{
    Common::setMetric("filbertreel_requests_in_flight", m_state.admission.inFlight);
    Common::setMetric("filbertreel_tokens_generated", static_cast<double>(m_state.counters.tokensGenerated));
    Common::setMetric("filbertreel_tokens_recomputed", static_cast<double>(m_state.counters.tokensRecomputed));
    Common::setMetric("filbertreel_dispatch_ring_refused", static_cast<double>(m_inbox.refused()));
}

} // namespace Dispatch
