#pragma once

/// @file
/// The dispatch duty: the thread that runs the dispatch decisions and sends requests to the endpoints.

#include "Common/Ring.h"
#include "Dispatch/Dispatcher.h"
#include "Dispatch/EngineCodec.h"

#include <atomic>
#include <functional>

namespace Dispatch {

/// Actions that concern a caller's connection.
using caller_action = std::variant<send_stream_head, send_tokens, send_stream_end, send_stream_failure, send_completion,
    send_service_answer, send_failure, send_redirect, locate_request>;

/// Functions that pass the duty's actions on to other duties. They are called on the duty's thread and must not block.
struct dispatch_outlets {
    /// @return false when the ring of the receiver is full; the duty then keeps the actions and passes them again later.
    std::function<bool(std::vector<caller_action>&)> sendToCallers;
    std::function<void(Platform::table_call&&)> callTable;
    std::function<void(const Common::endpoint_id&)> reportConnectionRefused; ///< The endpoint refused a connection.
    std::function<void(Rollout::attempt_observed&&)> reportRolloutEvent;
    std::function<void(request_transfer&&)> offerTransfer;
    std::function<void(const accept_transfer&)> acceptTransfer;
    std::function<void(const confirm_held&)> confirmHeld;
    std::function<void(const request_event&)> recordEvent;
};

class dispatch_duty {
public:
    dispatch_duty(dispatch_state initial, dispatch_outlets outlets);

    /// Puts a message into the inbox; may be called from any thread.
    /// @return false when the inbox is full; the message is then not handled.
    bool submit(dispatch_message&& message);
    /// Runs the duty on the calling thread until stop().
    void run();
    /// Makes run() return; may be called from any thread.
    void stop();
    /// @return number of requests that still need this node, as of the last tick; may be called from any thread.
    size_t unfinished() const;

private:
    struct engine_transfer {
        Http::transfer_id transfer { 0 };
        engine_stream stream;
    };

    void dispatch(dispatch_message&& message);
    void perform(start_attempt& action);
    void perform(cancel_attempt& action);
    void perform(pause_attempt& action);
    void perform(resume_attempt& action);
    void perform(write_record& action);
    void perform(read_record& action);
    void perform(report_rollout_event& action);
    void perform(report_connection_refused& action);
    void perform(offer_transfer& action);
    void perform(accept_transfer& action);
    void perform(confirm_held& action);
    void perform(request_event& action);
    template <typename action_type>
    void perform(action_type& action);
    void handleEngineBytes(Common::attempt_number attempt, long status, std::string_view bytes);
    void endAttempt(Common::attempt_number attempt, bool isModelWork, Http::transfer_answer&& answer);
    void flushToCallers();
    void publishMetrics() const;

    dispatch_state m_state;
    dispatch_outlets m_outlets;
    Common::ring<dispatch_message> m_inbox;
    Http::client m_client;
    std::unordered_map<uint64_t, engine_transfer> m_transfers;
    std::vector<caller_action> m_callerActions;
    std::vector<dispatch_message> m_endpointMessages; ///< Filled by the client's callbacks, handled after each poll.
    std::atomic<size_t> m_unfinished { 0 };
    std::atomic<bool> m_isStopping { false };
};

} // namespace Dispatch
