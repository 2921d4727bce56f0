#include "Entry/EntryDuty.h"

#include "Common/Metrics.h"
#include "Entry/Answers.h"

namespace Entry {

namespace {

    constexpr size_t ringCapacity = 16384;
    constexpr int statusOk = 200;
    constexpr int statusSeeOther = 303;
    constexpr int statusTemporaryRedirect = 307;
    /// Written token text is reported to the dispatch duty in steps of at least this size, not for each chunk.
    constexpr size_t writtenReportBytes = size_t { 16 } * 1024;
    constexpr int defaultRetryAfterSeconds = 1;
    /// How long a caller waits for a peer to report that it holds the caller's request.
    constexpr std::chrono::milliseconds locateTimeLimit { 1000 };

    bool startsWith(const std::string& text, std::string_view prefix)
    {
        return std::string_view(text).substr(0, prefix.size()) == prefix;
    }

    Common::failure ringFullFailure(std::string_view duty)
    {
        return { Common::failure_kind::Overloaded, std::string(duty), Common::run_state::NotRun, defaultRetryAfterSeconds };
    }

} // namespace

entry_duty::entry_duty(entry_settings settings, entry_outlets outlets)
    : m_settings(std::move(settings))
    , m_outlets(std::move(outlets))
    , m_inbox(ringCapacity)
    , m_configuration(indexAccounts(std::make_shared<const Configuration::configuration>()))
    , m_server(
          m_settings.http, [this](Http::incoming_request&& request) { receive(std::move(request)); },
          [this](Common::caller_token token, size_t, bool isConnected) { handleChunkWritten(token, isConnected); })
{
    m_status.node = m_settings.node;
    m_status.zone = m_settings.zone;
    m_status.region = m_settings.region;
    m_inbox.setWaker([this] { m_server.post([this] { drain(); }); });
}

bool entry_duty::submit(entry_message&& message)
{
    return m_inbox.push(message);
}

void entry_duty::run()
{
    m_server.run();
}

void entry_duty::stop()
{
    m_server.stop();
}

void entry_duty::drain()
{
    m_inbox.drainInto(m_batch);
    for (entry_message& message : m_batch)
        std::visit([this](auto& item) { handle(std::move(item)); }, message);
}

void entry_duty::receive(Http::incoming_request&& request)
{
    Common::countMetric("filbertreel_http_requests_total");
    if (startsWith(request.path, operatorPrefix)) {
        receiveOperator(request);
        return;
    }
    if (request.path == chatPath && request.method == "POST") {
        forward(request.token, parseChat(m_configuration, request));
        return;
    }
    if (startsWith(request.path, servicesPrefix)) {
        forward(request.token, parseServiceCall(m_configuration, request));
        return;
    }
    if (startsWith(request.path, requestsPrefix) && request.method == "GET") {
        m_resumeQueries[request.token.value] = request.query;
        forward(request.token, parseResume(m_configuration, request));
        return;
    }
    receiveUnauthenticated(request);
}

void entry_duty::receiveUnauthenticated(const Http::incoming_request& request)
{
    if (request.path == "/v1/addresses") {
        answerAddresses(request.token);
        return;
    }
    if (request.path == "/healthz") {
        answerJson(request.token, statusOk, "{\"status\":\"ok\"}");
        return;
    }
    if (request.path == "/readyz") {
        const bool isReady = m_status.configuration.value > 0 && m_status.endpoints && !m_status.isLeaving;
        if (isReady)
            answerJson(request.token, statusOk, "{\"status\":\"ready\"}");
        else
            answerFailure(request.token, { Common::failure_kind::NotReady, m_settings.node.value, Common::run_state::NotRun, defaultRetryAfterSeconds });
        return;
    }
    if (request.path == "/metrics") {
        Common::recordProcessMetrics();
        m_server.respond(request.token, statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, Common::printMetrics());
        return;
    }
    answerFailure(request.token, { Common::failure_kind::UnknownPath, request.path, Common::run_state::NotRun, 0 });
}

void entry_duty::receiveOperator(const Http::incoming_request& request)
{
    operator_request parsed = parseOperatorRequest(m_settings.operatorKey, m_status, m_configuration, request);
    if (auto* answer = std::get_if<operator_answer>(&parsed)) {
        answerJson(request.token, answer->status, std::move(answer->body));
        return;
    }
    bool isAccepted = false;
    if (auto* proposal = std::get_if<Configuration::proposal>(&parsed))
        isAccepted = m_outlets.sendToConfiguration(std::move(*proposal));
    if (auto* query = std::get_if<Audit::explain_query>(&parsed))
        isAccepted = m_outlets.sendToAudit(std::move(*query));
    if (auto* query = std::get_if<Audit::trail_query>(&parsed))
        isAccepted = m_outlets.sendToAudit(*query);
    if (!isAccepted)
        answerFailure(request.token, ringFullFailure("operator"));
}

template <typename message_type>
void entry_duty::forward(Common::caller_token token, Common::result<message_type>&& parsed)
{
    if (!parsed) {
        answerFailure(token, parsed.error());
        return;
    }
    if (!m_outlets.sendToDispatch(std::move(*parsed)))
        answerFailure(token, ringFullFailure("dispatch"));
}

void entry_duty::handleChunkWritten(Common::caller_token token, bool isConnected)
{
    const auto found = m_pendingWrites.find(token.value);
    if (found == m_pendingWrites.end())
        return;
    if (!found->second.textSizes.empty()) {
        found->second.bytesWrittenSinceReport += found->second.textSizes.front();
        found->second.textSizes.pop_front();
    }
    if (!isConnected || found->second.bytesWrittenSinceReport >= writtenReportBytes)
        reportWritten(token, isConnected);
}

void entry_duty::reportWritten(Common::caller_token token, bool isConnected)
{
    const auto found = m_pendingWrites.find(token.value);
    const size_t bytes = std::exchange(found->second.bytesWrittenSinceReport, 0);
    if (!isConnected)
        m_pendingWrites.erase(found);
    static_cast<void>(m_outlets.sendToDispatch(Dispatch::caller_progress { token, bytes, isConnected }));
}

void entry_duty::answerAddresses(Common::caller_token token)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    if (!m_status.isLeaving)
        list.push_back({ { "url", "http://" + m_settings.advertisedAddress }, { "zone", m_settings.zone.value }, { "region", m_settings.region.value } });
    for (const auto& [id, member] : m_status.members) {
        if (member.status == Membership::member_status::Alive)
            list.push_back({ { "url", "http://" + member.httpAddress }, { "zone", member.zone.value }, { "region", member.region.value } });
    }
    nlohmann::ordered_json body;
    body["addresses"] = std::move(list);
    body["ttl_ms"] = m_settings.addressTimeToLive.count();
    answerJson(token, statusOk, body.dump());
}

void entry_duty::answerFailure(Common::caller_token token, const Common::failure& reason, const Common::request_id& request)
{
    m_resumeQueries.erase(token.value);
    Common::countMetric("filbertreel_failures_total{code=\"" + std::string(nameOf(reason.kind)) + "\"}");
    std::vector<Http::header> headers { { "Content-Type", "application/json" } };
    if (!request.value.empty())
        headers.push_back({ "X-Request-Id", request.value });
    if (reason.retryAfterSeconds > 0)
        headers.push_back({ "Retry-After", std::to_string(reason.retryAfterSeconds) });
    m_server.respond(token, httpStatusOf(reason.kind), headers, describeAsJson(reason));
}

void entry_duty::answerJson(Common::caller_token token, int status, std::string body, const Common::request_id& request)
{
    std::vector<Http::header> headers { { "Content-Type", "application/json" } };
    if (!request.value.empty())
        headers.push_back({ "X-Request-Id", request.value });
    m_server.respond(token, status, headers, std::move(body));
}

void entry_duty::redirect(Common::caller_token token, const Common::request_id& request, const std::string& httpAddress, const std::string& query)
{
    const std::string location = "http://" + httpAddress + std::string(requestsPrefix) + request.value + (query.empty() ? "" : "?" + query);
    const bool isResume = m_resumeQueries.contains(token.value);
    m_resumeQueries.erase(token.value);
    m_server.respond(token, isResume ? statusTemporaryRedirect : statusSeeOther, { { "Location", location }, { "X-Request-Id", request.value } }, "");
}

void entry_duty::handle(caller_actions&& message)
{
    for (Dispatch::caller_action& action : message.actions)
        std::visit([this](auto& item) { perform(item); }, action);
}

void entry_duty::handle(operator_answered&& message)
{
    answerJson(message.token, message.answer.status, std::move(message.answer.body));
}

void entry_duty::handle(configuration_changed&& message)
{
    m_status.configuration = message.config->version;
    m_configuration = indexAccounts(std::move(message.config));
}

void entry_duty::handle(members_changed&& message)
{
    m_status.members = std::move(message.members);
}

void entry_duty::handle(endpoints_changed&& message)
{
    m_status.endpoints = std::move(message.endpoints);
}

void entry_duty::handle(request_located&& message)
{
    const auto found = m_awaitingLocation.find(message.request);
    if (found == m_awaitingLocation.end())
        return;
    const std::vector<waiting_caller> callers = std::move(found->second);
    m_awaitingLocation.erase(found);
    for (const waiting_caller& caller : callers)
        redirect(caller.token, message.request, message.httpAddress, caller.query);
}

void entry_duty::handle(leaving_begun&&)
{
    m_status.isLeaving = true;
}

void entry_duty::perform(Dispatch::send_stream_head& action)
{
    m_resumeQueries.erase(action.token.value);
    m_pendingWrites[action.token.value].textSizes.push_back(0);
    m_server.beginStream(action.token, statusOk, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" }, { "X-Request-Id", action.request.value } });
    m_server.writeChunk(action.token, formatStreamHead(action));
}

void entry_duty::perform(Dispatch::send_tokens& action)
{
    const auto found = m_pendingWrites.find(action.token.value);
    if (found == m_pendingWrites.end())
        return;
    size_t size = 0;
    for (const std::string& text : action.texts)
        size += text.size();
    found->second.textSizes.push_back(size);
    m_server.writeChunk(action.token, formatTokens(action));
}

void entry_duty::perform(Dispatch::send_stream_end& action)
{
    m_server.writeChunk(action.token, formatStreamEnd(action));
    m_server.endStream(action.token);
    m_pendingWrites.erase(action.token.value);
}

void entry_duty::perform(Dispatch::send_stream_failure& action)
{
    m_server.writeChunk(action.token, formatStreamFailure(action));
    m_server.endStream(action.token);
    m_pendingWrites.erase(action.token.value);
}

void entry_duty::perform(Dispatch::send_completion& action)
{
    m_resumeQueries.erase(action.token.value);
    answerJson(action.token, statusOk, formatCompletion(action), action.request);
}

void entry_duty::perform(Dispatch::send_service_answer& action)
{
    std::vector<Http::header> headers { { "Content-Type", "application/json" }, { "X-Request-Id", action.request.value } };
    if (action.isReplay)
        headers.push_back({ "Idempotency-Replayed", "true" });
    m_server.respond(action.token, action.status, headers, std::move(action.body));
}

void entry_duty::perform(Dispatch::send_failure& action)
{
    answerFailure(action.token, action.reason, action.request);
}

void entry_duty::perform(Dispatch::send_redirect& action)
{
    if (!action.isStreamed) {
        redirect(action.token, action.request, action.httpAddress, "stream=false");
        return;
    }
    // An EventSource client reconnects with its Last-Event-ID; other clients read the new address from this event.
    m_server.writeChunk(action.token, "retry: 100\nevent: moved\ndata: {\"location\":\"http://" + action.httpAddress + std::string(requestsPrefix) + action.request.value + "\"}\n\n");
    m_server.endStream(action.token);
    m_pendingWrites.erase(action.token.value);
}

void entry_duty::perform(Dispatch::locate_request& action)
{
    std::string query;
    const auto resumeQuery = m_resumeQueries.find(action.token.value);
    if (resumeQuery != m_resumeQueries.end())
        query = resumeQuery->second;
    m_awaitingLocation[action.request].push_back({ action.token, query });
    m_outlets.findHolder(action.request);
    m_server.runAfter(locateTimeLimit, [this, request = action.request] { failUnlocatedRequest(request); });
}

void entry_duty::failUnlocatedRequest(const Common::request_id& request)
{
    const auto found = m_awaitingLocation.find(request);
    if (found == m_awaitingLocation.end())
        return;
    const std::vector<waiting_caller> callers = std::move(found->second);
    m_awaitingLocation.erase(found);
    for (const waiting_caller& caller : callers) {
        answerFailure(caller.token, { Common::failure_kind::UnknownRequest, request.value, Common::run_state::Unknown, 0 }, request);
    }
}

} // namespace Entry
