#include "Directory/DirectoryDuty.h"

#include "Common/Metrics.h"
#include "Common/Text.h"

namespace Directory {

namespace {

    constexpr int okStatus = 200;
    constexpr int notFoundStatus = 404;
    constexpr int unavailableStatus = 503;
    /// No question has a body.
    constexpr uint64_t maxBodyBytes = 1024;

    Http::server_settings makeServerSettings(const directory_settings& settings)
    {
        Http::server_settings serverSettings;
        serverSettings.listen = settings.listen;
        serverSettings.maxConnections = settings.maxConnections;
        serverSettings.maxBodyBytes = maxBodyBytes;
        return serverSettings;
    }

} // namespace

directory_duty::directory_duty(directory_settings settings)
    : m_settings(std::move(settings))
    , m_server(makeServerSettings(m_settings), [this](Http::incoming_request&& request) { answer(std::move(request)); })
{
}

void directory_duty::setNodes(const Fleet::node_map& nodes)
{
    const std::lock_guard guard(m_mutex);
    m_nodes = nodes;
}

void directory_duty::setReady(bool isReady)
{
    m_isReady = isReady;
}

void directory_duty::run()
{
    m_server.run();
}

void directory_duty::stop()
{
    m_server.stop();
}

void directory_duty::answer(Http::incoming_request&& request)
{
    const auto decodedRequest = m_settings.format.read(request);
    if (!decodedRequest)
        return m_server.respond(request.token, notFoundStatus, {}, "");
    if (std::holds_alternative<readiness_question>(*decodedRequest))
        return m_server.respond(request.token, m_isReady ? okStatus : unavailableStatus, {}, "");
    if (std::holds_alternative<metrics_question>(*decodedRequest)) {
        Common::recordProcessMetrics();
        return m_server.respond(request.token, okStatus, { { "Content-Type", "text/plain; version=0.0.4" } }, Common::printMetrics());
    }
    answerAddresses(request.token, std::get<address_question>(*decodedRequest));
}

void directory_duty::answerAddresses(Common::caller_token token, const address_question& callerLocation)
{
    std::vector<std::string> addresses;
    {
        const std::lock_guard guard(m_mutex);
        addresses = Fleet::chooseAddresses(m_nodes, callerLocation.zone, callerLocation.region);
    }
    if (addresses.empty())
        return m_server.respond(token, unavailableStatus, {}, "");
    m_server.respond(token, okStatus, { { "Content-Type", "application/json" } }, m_settings.format.writeAddresses(addresses, m_settings.addressLife));
}

} // namespace Directory
