#pragma once

/// @file
/// The audit duty: the thread that logs events, keeps them for explanations and reads the audit trail.

#include "Audit/EventStore.h"
#include "Common/Mailbox.h"
#include "Dispatch/Messages.h"
#include "Platform/Table.h"

#include <functional>
#include <variant>

namespace Audit {

struct event_noted {
    std::string event;
    Common::request_id request;
    nlohmann::json fields;
    Common::wall_time at;
};

struct explain_query {
    Common::caller_token operatorToken;
    Common::request_id request;
};

/// Read the audit trail of the configuration after a version.
struct trail_query {
    Common::caller_token operatorToken;
    Common::config_version after;
};

struct trail_read {
    Common::caller_token operatorToken;
    Platform::table_reply reply;
};

using audit_message = std::variant<event_noted, explain_query, trail_query, trail_read>;

struct audit_outlets {
    std::function<void(Platform::table_call&&)> callTable;
    std::function<void(Common::caller_token, int status, std::string body)> answerOperator;
};

class audit_duty {
public:
    explicit audit_duty(audit_outlets outlets);

    /// Hands a message over; may be called from any thread.
    /// @return whether the ring took it.
    bool submit(audit_message&& message);
    /// Serves until stop().
    void run();
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
