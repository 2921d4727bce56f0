#pragma once

/// @file
/// The dispatch duty: the thread that runs the dispatch decisions and speaks to the endpoints.

#include "Common/Ring.h"
#include "Dispatch/Dispatcher.h"
#include "Dispatch/EngineCodec.h"

#include <atomic>
#include <functional>

namespace Dispatch {

/// What goes back to the callers.
using caller_action = std::variant<send_stream_head, send_tokens, send_stream_end, send_stream_failure, send_completion,
    send_service_answer, send_failure, send_redirect, locate_request>;

/// Where the duty's actions go. None of them blocks.
struct dispatch_outlets {
    /// @return false when the ring is full: the actions stay with the duty and are offered again.
    std::function<bool(std::vector<caller_action>&)> tellCallers;
    std::function<void(Platform::table_call&&)> callTable;
    std::function<void(const Common::endpoint_id&)> reportRefused;
    std::function<void(Rollout::attempt_observed&&)> observe;
    std::function<void(request_transfer&&)> offerTransfer;
    std::function<void(const accept_transfer&)> acceptTransfer;
    std::function<void(const confirm_held&)> confirmHeld;
    std::function<void(const note_event&)> note;
};

class dispatch_duty {
public:
    dispatch_duty(dispatch_state initial, dispatch_outlets outlets);

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(dispatch_message&& message);
    /// Serves until stop().
    void run();
    void stop();
    /// @return requests that still need this node; may be called from any thread.
    size_t unfinished() const;

private:
    struct open_transfer {
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
    void perform(observe_attempt& action);
    void perform(report_refused& action);
    void perform(offer_transfer& action);
    void perform(accept_transfer& action);
    void perform(confirm_held& action);
    void perform(note_event& action);
    template <typename action_type>
    void perform(action_type& action);
    void takeEngineBytes(Common::attempt_number attempt, long status, std::string_view bytes);
    void endAttempt(Common::attempt_number attempt, bool isModelWork, Http::transfer_answer&& answer);
    void flushToCallers();
    void publishMetrics() const;

    dispatch_state m_state;
    dispatch_outlets m_outlets;
    Common::ring<dispatch_message> m_inbox;
    Http::client m_client;
    std::unordered_map<uint64_t, open_transfer> m_transfers;
    std::vector<caller_action> m_forCallers;
    std::vector<dispatch_message> m_fromEndpoints; ///< Filled by the client's handlers, taken after each poll.
    std::atomic<size_t> m_unfinished { 0 };
    std::atomic<bool> m_isStopping { false };
};

} // namespace Dispatch
