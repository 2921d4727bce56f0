#include "Platform/PlatformDuty.h"

#include "Common/Metrics.h"
#include "Platform/TableCodec.h"

#include <memory>

namespace Platform {

namespace {

    constexpr std::chrono::milliseconds maxPollWait { 1000 };

    std::string_view counterNameOf(const table_operation& operation)
    {
        if (std::holds_alternative<table_write>(operation))
            return "filbertreel_table_writes_total";
        return "filbertreel_table_reads_total";
    }

} // namespace

platform_duty::platform_duty(platform_settings settings)
    : m_settings(std::move(settings))
    , m_inbox(m_settings.ringCapacity)
{
    m_inbox.setWaker([this] { m_client.wake(); });
}

void platform_duty::submit(table_call&& call)
{
    if (m_inbox.push(call))
        return;
    call.onReply({ table_outcome::Unavailable, {} });
}

void platform_duty::startCall(table_call&& call)
{
    Common::countMetric(counterNameOf(call.operation));
    Http::outgoing_request request = encodeOperation(m_settings.tableUrl, m_settings.tableName, call.operation);
    auto sharedCall = std::make_shared<table_call>(std::move(call));
    m_client.start(std::move(request), [sharedCall](Http::transfer_answer&& answer) {
        Common::countMetric("filbertreel_control_bytes_total{peer=\"table\"}", answer.wireBytes);
        table_reply reply = decodeAnswer(sharedCall->operation, answer);
        if (reply.outcome != table_outcome::Done && reply.outcome != table_outcome::ConditionFailed)
            Common::countMetric("filbertreel_table_failures_total");
        sharedCall->onReply(std::move(reply));
    });
}

void platform_duty::run()
{
    std::vector<table_call> batch;
    while (!m_isStopping) {
        m_inbox.drainInto(batch);
        for (table_call& call : batch)
            m_backlog.push_back(std::move(call));
        size_t started = 0;
        while (started < m_backlog.size() && m_client.active() < m_settings.maxConcurrentCalls)
            startCall(std::move(m_backlog[started++]));
        m_backlog.erase(m_backlog.begin(), m_backlog.begin() + static_cast<std::ptrdiff_t>(started));
        m_client.poll(maxPollWait);
    }
}

void platform_duty::stop()
{
    m_isStopping = true;
    m_client.wake();
}

} // namespace Platform
