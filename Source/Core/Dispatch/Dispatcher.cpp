#include "Dispatch/Dispatcher.h"

#include "Common/Hash.h"
#include "Dispatch/ModelWork.h"
#include "Dispatch/ServiceCall.h"

#include <algorithm>

namespace Dispatch {

namespace {

    constexpr int drainRetryAfterSeconds = 1;

    Common::request_id nextRequestId(dispatch_state& state)
    {
        const uint64_t sequence = ++state.lastRequest;
        return { state.settings.node.value + "." + std::to_string(state.settings.incarnation.value) + "." + std::to_string(sequence) };
    }

    /// Requests with the same first message can share an engine's prefix cache.
    uint64_t hashPrefix(const nlohmann::json& body)
    {
        const auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            return 0;
        return Common::hash64(messages->front().dump());
    }

    Routing::routing_request makeRoutingRequest(const dispatch_state& state, const request_entry& request)
    {
        Routing::routing_request routingRequest;
        routingRequest.work = &request.work;
        routingRequest.prefixHash = request.prefixHash;
        routingRequest.avoided = request.avoided;
        const auto shares = state.sharesByService.find(request.work.service);
        if (shares != state.sharesByService.end()) {
            routingRequest.versionShares = &shares->second.shares;
            routingRequest.currentVersion = &shares->second.current;
        }
        return routingRequest;
    }

    Limits::predicted_service predict(step_context& context, const request_entry& request)
    {
        const auto choice = Routing::chooseEndpoint(context.state.router, makeRoutingRequest(context.state, request), context.clock.now);
        if (!choice)
            return {};
        return { true, choice->meetsTarget, choice->predictedFirstTokenSeconds };
    }

    std::unique_ptr<request_entry> makeRequest(step_context& context, caller_request&& message)
    {
        auto request = std::make_unique<request_entry>();
        request->id = nextRequestId(context.state);
        request->account = std::move(message.account);
        request->work = std::move(message.work);
        request->caller = message.token;
        request->isStreamed = message.isStreamed;
        request->body = std::move(message.body);
        request->rawBody = std::move(message.rawBody);
        request->path = std::move(message.path);
        request->idempotencyKey = std::move(message.idempotencyKey);
        request->prefixHash = hashPrefix(request->body);
        request->arrivedAt = context.clock.now;
        request->deadline = context.clock.now + context.state.settings.maxRequestDuration;
        return request;
    }

    void reportRolloutEvent(step_context& context, const request_entry& request, Rollout::attempt_event event)
    {
        if (context.state.sharesByService.contains(request.work.service))
            context.output.push_back(report_rollout_event { { request.work.service, request.attempt->version, request.work.name, event } });
    }

    Rollout::attempt_event classifyAttempt(dispatch_state& state, const request_entry& request, const Routing::attempt_outcome& outcome)
    {
        // The endpoint is gone when its instance was reclaimed: that failure doesn't count against the version.
        if (outcome.isFailed && Routing::findView(state.router, request.attempt->endpoint))
            return Rollout::attempt_event::Failed;
        if (outcome.isFailed || !outcome.answerSeconds)
            return Rollout::attempt_event::Abandoned;
        return request.attempt->isLate ? Rollout::attempt_event::Late : Rollout::attempt_event::Succeeded;
    }

    void handle(step_context& context, caller_request&& message)
    {
        const bool isModelWork = message.work.kind == Configuration::class_kind::Model;
        request_entry* request = admit(context, std::move(message));
        if (!request)
            return;
        if (isModelWork)
            beginModelWork(context, *request);
        else
            beginServiceCall(context, *request);
    }

    void handle(step_context& context, caller_resume&& message)
    {
        const auto found = context.state.requests.find(message.request);
        if (found == context.state.requests.end()) {
            context.output.push_back(locate_request { message.token, message.request });
            return;
        }
        request_entry& request = *found->second;
        const bool isModelWork = request.work.kind == Configuration::class_kind::Model;
        if (request.account != message.account || !isModelWork) {
            const Common::failure unknown { Common::failure_kind::UnknownRequest, message.request.value, Common::run_state::Unknown, 0 };
            context.output.push_back(send_failure { message.token, message.request, unknown });
            return;
        }
        resumeCaller(context, request, message);
    }

    void handle(step_context& context, caller_progress&& message)
    {
        const auto found = context.state.byCaller.find(message.token.value);
        if (found != context.state.byCaller.end())
            handleCallerWritten(context, *found->second, message);
    }

    request_entry* findRequestOfAttempt(step_context& context, Common::attempt_number attempt)
    {
        // A replaced attempt is no longer in byAttempt: whatever it still sends is dropped here.
        const auto found = context.state.byAttempt.find(attempt.value);
        return found == context.state.byAttempt.end() ? nullptr : found->second;
    }

    void handle(step_context& context, attempt_tokens&& message)
    {
        if (request_entry* request = findRequestOfAttempt(context, message.attempt))
            appendTokens(context, *request, std::move(message.texts));
    }

    void handle(step_context& context, attempt_ended&& message)
    {
        request_entry* request = findRequestOfAttempt(context, message.attempt);
        if (!request)
            return;
        if (message.end == Http::transfer_end::NotSent)
            context.output.push_back(report_connection_refused { request->attempt->endpoint });
        if (request->work.kind == Configuration::class_kind::Model)
            handleModelAttemptEnd(context, *request, message);
        else
            handleServiceAttemptEnd(context, *request, message);
    }

    void handle(step_context& context, record_reply&& message)
    {
        const auto found = context.state.requests.find(message.request);
        if (found != context.state.requests.end())
            handleRecordReply(context, *found->second, message);
    }

    void handle(step_context& context, configuration_published&& message)
    {
        context.state.config = std::move(message.state);
    }

    void handle(step_context& context, endpoints_published&& message)
    {
        context.state.router.nodesPerEndpoint = message.nodesPerEndpoint;
        Routing::setEndpoints(context.state.router, *message.usable, context.clock.now);
    }

    void handle(step_context& context, load_published&& message)
    {
        Routing::applyLoadReport(context.state.router, message.report);
    }

    void handle(step_context& context, shares_published&& message)
    {
        context.state.sharesByService[message.shares.service] = std::move(message.shares);
    }

    void handle(step_context& context, transfer_offered&& message)
    {
        receiveTransfer(context, std::move(message));
    }

    void handle(step_context& context, transfer_accepted&& message)
    {
        const auto found = context.state.requests.find(message.request);
        if (found != context.state.requests.end())
            finishTransfer(context, *found->second, message.httpAddress);
    }

    void handle(step_context& context, holder_query&& message)
    {
        if (context.state.requests.contains(message.request))
            context.output.push_back(confirm_held { message.requester, message.request });
    }

    void handle(step_context& context, drain_begun&&)
    {
        context.state.isDraining = true;
    }

    std::vector<request_entry*> listRequestsById(dispatch_state& state)
    {
        std::vector<request_entry*> list;
        list.reserve(state.requests.size());
        for (const auto& [id, request] : state.requests)
            list.push_back(request.get());
        // The iteration order of a hash table may differ between runs; the order of the decisions must not.
        std::sort(list.begin(), list.end(), [](const request_entry* left, const request_entry* right) { return left->id < right->id; });
        return list;
    }

    void handle(step_context& context, handover_begun&&)
    {
        for (request_entry* request : listRequestsById(context.state)) {
            if (request->work.kind == Configuration::class_kind::Model)
                offerTransfer(context, *request);
        }
    }

    void handle(step_context& context, dispatch_tick&&)
    {
        for (request_entry* request : listRequestsById(context.state)) {
            if (request->work.kind == Configuration::class_kind::Model)
                tickModelWork(context, *request);
            else
                tickServiceCall(context, *request);
        }
    }

} // namespace

std::vector<dispatch_action> stepDispatch(dispatch_state& state, dispatch_message&& message, clock_reading clock)
{
    std::vector<dispatch_action> output;
    step_context context { state, clock, output };
    std::visit([&context](auto& item) { handle(context, std::move(item)); }, message);
    return output;
}

size_t countUnfinished(const dispatch_state& state)
{
    return static_cast<size_t>(std::count_if(state.requests.begin(), state.requests.end(),
        [](const auto& entry) { return entry.second->phase != request_phase::Finished; }));
}

request_entry* admit(step_context& context, caller_request&& message)
{
    const Common::caller_token token = message.token;
    std::unique_ptr<request_entry> request = makeRequest(context, std::move(message));
    std::optional<Common::failure> refusal;
    if (context.state.isDraining)
        refusal = Common::failure { Common::failure_kind::NodeDraining, context.state.settings.node.value, Common::run_state::NotRun, drainRetryAfterSeconds };
    else
        refusal = Limits::checkAdmission(context.state.admission, *context.state.config, request->account, request->work, predict(context, *request));
    if (refusal) {
        recordEvent(context, "request_refused", *request, { { "code", nameOf(refusal->kind) } });
        context.output.push_back(send_failure { token, request->id, *refusal });
        return nullptr;
    }
    Limits::recordAdmitted(context.state.admission, request->account);
    Limits::earnRetry(context.state.budgets, request->account);
    request_entry* admitted = request.get();
    context.state.byCaller[token.value] = admitted;
    context.state.requests.emplace(admitted->id, std::move(request));
    return admitted;
}

bool assignEndpoint(step_context& context, request_entry& request)
{
    dispatch_state& state = context.state;
    auto choice = Routing::chooseEndpoint(state.router, makeRoutingRequest(context.state, request), context.clock.now);
    if (!choice && !request.avoided.empty()) {
        // No endpoint is left that hasn't failed this request: retry one of those rather than none.
        request.avoided.clear();
        choice = Routing::chooseEndpoint(state.router, makeRoutingRequest(context.state, request), context.clock.now);
    }
    if (!choice)
        return false;
    const Routing::endpoint_view& view = state.router.views[choice->index];
    attempt_info attempt;
    attempt.number = { ++state.lastAttempt };
    attempt.endpoint = view.info->id;
    attempt.version = view.info->version;
    attempt.begunAt = context.clock.now;
    attempt.lastProgress = context.clock.now;
    attempt.predictedFirstTokenSeconds = choice->predictedFirstTokenSeconds;
    recordEvent(context, "attempt_begun", request, { { "endpoint", view.info->id.value }, { "zone", view.info->zone.value }, { "version", view.info->version.value }, { "attempt", attempt.number.value }, { "predicted_first_token_s", choice->predictedFirstTokenSeconds }, { "predicted_cost_micro", choice->predictedCostMicro } });
    request.attempt = attempt;
    request.attemptsBegun += 1;
    request.phase = request_phase::Running;
    state.byAttempt[attempt.number.value] = &request;
    Routing::recordAttemptStart(state.router, attempt.endpoint, request.prefixHash);
    reportRolloutEvent(context, request, Rollout::attempt_event::Begun);
    return true;
}

void closeAttempt(step_context& context, request_entry& request, const Routing::attempt_outcome& outcome)
{
    if (!request.attempt)
        return;
    reportRolloutEvent(context, request, classifyAttempt(context.state, request, outcome));
    Routing::recordAttemptEnd(context.state.router, request.attempt->endpoint, outcome, context.clock.now);
    context.state.byAttempt.erase(request.attempt->number.value);
    request.attempt.reset();
}

void detachCaller(step_context& context, request_entry& request)
{
    if (!request.caller)
        return;
    context.state.byCaller.erase(request.caller->value);
    request.caller.reset();
    request.unwrittenBytes = 0;
}

void removeRequest(step_context& context, request_entry& request)
{
    if (request.attempt) {
        context.output.push_back(cancel_attempt { request.attempt->number });
        closeAttempt(context, request, {});
    }
    detachCaller(context, request);
    Limits::recordEnded(context.state.admission, request.account);
    context.state.requests.erase(Common::request_id(request.id));
}

void recordEvent(step_context& context, std::string_view event, const request_entry& request, nlohmann::json fields)
{
    context.output.push_back(request_event { event, request.id, std::move(fields) });
}

} // namespace Dispatch
