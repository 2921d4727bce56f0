#include "Endpoints/EndpointsDuty.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Endpoints/CloudCodec.h"

namespace Endpoints {

namespace {

    constexpr std::chrono::milliseconds maxPollWait { 100 };
    constexpr std::chrono::milliseconds listTimeLimit { 2000 };
    constexpr std::chrono::milliseconds loadTimeLimit { 1000 };
    constexpr long statusOk = 200;

    bool isAnswered(const Http::transfer_answer& answer)
    {
        return answer.end == Http::transfer_end::Complete && answer.status == statusOk;
    }

} // namespace

endpoints_duty::endpoints_duty(endpoints_settings settings, endpoints_outlets outlets)
    : m_settings(std::move(settings))
    , m_outlets(std::move(outlets))
    , m_inbox(m_settings.ringCapacity)
{
    m_table.self = m_settings.self;
    m_inbox.setWaker([this] { m_client.wake(); });
}

bool endpoints_duty::submit(table_message&& message)
{
    return m_inbox.push(message);
}

void endpoints_duty::run()
{
    std::vector<table_message> batch;
    while (!m_isStopping) {
        m_inbox.drainInto(batch);
        for (table_message& message : batch)
            dispatch(std::move(message));
        pollDue(std::chrono::steady_clock::now());
        m_client.poll(maxPollWait);
    }
}

void endpoints_duty::stop()
{
    m_isStopping = true;
    m_client.wake();
}

void endpoints_duty::pollDue(Common::instant now)
{
    if (now >= m_nextList && !m_isListPending) {
        // The nodes of a region read the list in turn: each one broadcasts the new and the leaving endpoints it finds.
        const auto interval = stretchInterval(m_settings.listInterval, m_table.entries.size(), instancesPerInterval);
        m_nextList = now + interval * countListReaders(m_table);
        pollList();
    }
    if (now < m_nextLoad)
        return;
    const std::vector<instance_info> polled = listPolledHere(m_table);
    m_nextLoad = now + stretchInterval(m_settings.loadInterval, polled.size(), pollsPerInterval);
    flushPeerLoads();
    for (const instance_info& info : polled)
        pollLoad(info);
    // Published at each round, because an unreachable endpoint becomes usable again without any message.
    perform(publish_endpoints { listUsable(m_table, now), countSharingNodes(m_table) });
}

void endpoints_duty::pollList()
{
    m_isListPending = true;
    Http::outgoing_request request;
    request.url = m_settings.cloudUrl + "/v1/instances";
    request.timeLimit = listTimeLimit;
    m_client.start(std::move(request), [this](Http::transfer_answer&& answer) {
        m_isListPending = false;
        Common::countMetric("filbertreel_control_bytes_total{peer=\"cloud\"}", answer.wireBytes);
        if (!isAnswered(answer)) {
            Common::countMetric("filbertreel_cloud_list_failures_total");
            return;
        }
        auto instances = parseInstances(answer.body);
        if (instances)
            dispatch(cloud_list { std::move(*instances) });
    });
}

void endpoints_duty::pollLoad(const instance_info& info)
{
    if (!m_pendingPolls.insert(info.id).second)
        return;
    Http::outgoing_request request;
    request.url = "http://" + info.address + "/load";
    request.timeLimit = loadTimeLimit;
    m_client.start(std::move(request), [this, id = info.id](Http::transfer_answer&& answer) {
        m_pendingPolls.erase(id);
        Common::countMetric("filbertreel_control_bytes_total{peer=\"load\"}", answer.wireBytes);
        if (!isAnswered(answer))
            return;
        auto report = parseLoad(id, answer.body);
        if (report)
            dispatch(polled_load { std::move(*report) });
    });
}

void endpoints_duty::dispatch(table_message&& message)
{
    const std::vector<table_action> actions = stepEndpoints(m_table, std::move(message), std::chrono::steady_clock::now());
    for (const table_action& action : actions)
        std::visit([this](const auto& item) { perform(item); }, action);
}

void endpoints_duty::perform(const publish_endpoints& action)
{
    Common::setMetric("filbertreel_endpoints_usable", static_cast<double>(action.usable->size()));
    m_outlets.publishEndpoints(action);
}

void endpoints_duty::perform(const publish_load& action)
{
    m_outlets.publishLoad(action.report);
}

void endpoints_duty::perform(const broadcast_leaving& action)
{
    Common::logEvent(Common::log_level::Info, "endpoint_leaving", { { "endpoint", action.id.value } });
    m_outlets.broadcastLeaving(action.id);
}

void endpoints_duty::perform(const broadcast_instances& action)
{
    m_outlets.broadcastInstances(action.instances);
}

void endpoints_duty::perform(const send_load& action)
{
    m_loadsForPeers[action.node].push_back(action.report);
}

void endpoints_duty::flushPeerLoads()
{
    for (const auto& [node, reports] : m_loadsForPeers)
        m_outlets.sendLoads(node, reports);
    m_loadsForPeers.clear();
}

void endpoints_duty::perform(const publish_entries& action)
{
    m_outlets.publishEntries(action.entries);
}

} // namespace Endpoints
