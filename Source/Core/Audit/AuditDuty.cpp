#include "Audit/AuditDuty.h"

#include "Common/Failure.h"
#include "Common/Json.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Text.h"
#include "Configuration/ConfigurationDuty.h"

namespace Audit {

namespace {

    constexpr size_t ringCapacity = 16384;
    constexpr std::chrono::milliseconds maxInboxWait { 1000 };
    constexpr int statusOk = 200;

    void countEvent(const event_noted& message)
    {
        Common::countMetric("filbertreel_events_total{event=\"" + message.event + "\"}");
        if (message.event == "first_token")
            Common::observeMetric("filbertreel_first_token_seconds", message.fields.value("seconds", 0.0));
    }

} // namespace

audit_duty::audit_duty(audit_outlets outlets)
    : m_outlets(std::move(outlets))
    , m_inbox(ringCapacity)
{
}

bool audit_duty::submit(audit_message&& message)
{
    return m_inbox.push(message);
}

void audit_duty::run()
{
    std::vector<audit_message> batch;
    bool isServing = true;
    while (isServing) {
        isServing = m_inbox.waitInto(maxInboxWait, batch);
        for (audit_message& message : batch)
            std::visit([this](auto& item) { handle(std::move(item)); }, message);
    }
}

void audit_duty::stop()
{
    m_inbox.stop();
}

void audit_duty::handle(event_noted&& message)
{
    countEvent(message);
    nlohmann::json fields = message.fields.is_object() ? message.fields : nlohmann::json::object();
    fields["request"] = message.request.value;
    Common::logEvent(Common::log_level::Info, message.event, std::move(fields));
    storeEvent(m_store, message.request, { message.at, std::move(message.event), std::move(message.fields) });
}

void audit_duty::handle(explain_query&& message)
{
    nlohmann::ordered_json body { { "request", message.request.value } };
    body["events"] = explainRequest(m_store, message.request);
    m_outlets.answerOperator(message.operatorToken, statusOk, body.dump());
}

void audit_duty::handle(trail_query&& message)
{
    Platform::table_query query;
    query.partition = Configuration::chainPartition;
    query.afterSort = Common::zeroPadded(message.after.value);
    m_outlets.callTable({ query, [this, token = message.operatorToken](Platform::table_reply&& reply) {
                             static_cast<void>(submit(trail_read { token, std::move(reply) }));
                         } });
}

void audit_duty::handle(trail_read&& message)
{
    if (message.reply.outcome != Platform::table_outcome::Done) {
        const Common::failure unavailable { Common::failure_kind::StoreUnavailable, "audit", Common::run_state::NotRun, 1 };
        m_outlets.answerOperator(message.operatorToken, httpStatusOf(unavailable.kind), describeAsJson(unavailable));
        return;
    }
    nlohmann::ordered_json body { { "records", nlohmann::ordered_json::array() } };
    for (const Platform::table_row& row : message.reply.rows)
        body["records"].push_back(Common::parseJson<nlohmann::ordered_json>(row.body));
    m_outlets.answerOperator(message.operatorToken, statusOk, body.dump());
}

} // namespace Audit
