#pragma once

/// @file
/// The audit duty: the thread that logs the events of requests, stores them for operators' queries and reads the audit
/// trail of the configuration.

#include "Audit/EventStore.h"
#include "Common/Mailbox.h"
#include "Dispatch/Messages.h"
#include "Platform/Table.h"

#include <functional>
#include <variant>

namespace Audit {

/// An event of a request.
struct event_noted {
    std::string event; ///< Name of the event in the log.
    Common::request_id request;
    nlohmann::json fields; ///< Details that are logged with the event.
    Common::wall_time at;
};

/// An operator's query for the events of a request.
struct explain_query {
    Common::caller_token operatorToken;
    Common::request_id request;
};

/// An operator's query for the configuration changes after a version.
struct trail_query {
    Common::caller_token operatorToken;
    Common::config_version after;
};

/// The table service's reply to the read of a trail_query.
struct trail_read {
    Common::caller_token operatorToken;
    Platform::table_reply reply;
};

using audit_message = std::variant<event_noted, explain_query, trail_query, trail_read>;

/// The duty's connections to other duties. Each function passes a message on and never blocks.
struct audit_outlets {
    std::function<void(Platform::table_call&&)> callTable;
    std::function<void(Common::caller_token, int status, std::string body)> answerOperator;
};

class audit_duty {
public:
    explicit audit_duty(audit_outlets outlets);

    /// Queues a message for the duty; may be called from any thread.
    /// @return false when the inbox ring is full; the message is then left untouched.
    bool submit(audit_message&& message);
    /// Processes messages on the calling thread until stop(), then those that are left in the ring.
    void run();
    /// Makes run() return; may be called from any thread.
    void stop();

private:
    void handle(event_noted&& message);
    void handle(explain_query&& message);
    void handle(trail_query&& message);
    void handle(trail_read&& message);

    audit_outlets m_outlets;
    Common::mailbox<audit_message> m_inbox;
    event_store m_store;
};

} // namespace Audit
