#include "Dispatch/ModelWork.h"

#include <algorithm>

namespace Dispatch {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusServerError = 500;
    constexpr int statusTimeout = 408;
    constexpr int statusTooManyRequests = 429;
    constexpr std::chrono::milliseconds retryPause { 200 };
    constexpr std::chrono::milliseconds parkedPause { 500 };
    constexpr std::chrono::milliseconds shortestStall { 2000 };
    constexpr int stallTargetFactor = 4;
    constexpr int tokenStallTargetFactor = 20;
    constexpr size_t maxFinishedKept = 4096;
    /// An offer that no peer has answered by then is taken back.
    constexpr std::chrono::milliseconds offerTimeLimit { 1500 };
    /// Callers of a node that left learn the new address only when their connection ends.
    constexpr std::chrono::seconds transferGrace { 20 };

    /// The engine goes on after the tokens that the caller already has.
    void addContinuation(nlohmann::json& body, const token_log& tokens)
    {
        if (tokens.ends.empty())
            return;
        body["messages"].push_back({ { "role", "assistant" }, { "content", tokens.text } });
        body["continue_final_message"] = true;
        body["add_generation_prompt"] = false;
        if (body.contains("max_tokens") && body["max_tokens"].is_number_integer())
            body["max_tokens"] = std::max<int64_t>(1, body["max_tokens"].get<int64_t>() - static_cast<int64_t>(tokens.ends.size()));
    }

    std::string encodeEngineBody(const request_entry& request)
    {
        nlohmann::json body = request.body;
        body["model"] = request.work.service;
        body["stream"] = true;
        body["priority"] = request.work.priority;
        addContinuation(body, request.tokens);
        return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void park(step_context& context, request_entry& request, std::chrono::milliseconds pause)
    {
        request.phase = request_phase::Parked;
        request.notBefore = context.clock.now + pause;
    }

    void beginAttempt(step_context& context, request_entry& request)
    {
        request.isOffered = false;
        if (!assignEndpoint(context, request)) {
            park(context, request, parkedPause);
            return;
        }
        const Routing::endpoint_view* view = Routing::findView(context.state.router, request.attempt->endpoint);
        start_attempt action;
        action.attempt = request.attempt->number;
        action.endpoint = request.attempt->endpoint;
        action.address = view->info->address;
        action.path = "/v1/chat/completions";
        action.body = encodeEngineBody(request);
        action.timeLimit = context.state.settings.longestRequest;
        context.output.push_back(std::move(action));
        context.state.counters.tokensRecomputed += request.tokens.ends.size();
    }

    void sendFrom(step_context& context, request_entry& request, uint64_t firstPosition)
    {
        const uint64_t last = request.tokens.ends.size();
        if (!request.caller || !request.isStreamed || firstPosition > last)
            return;
        send_tokens action { *request.caller, request.id, request.work.name, firstPosition, {} };
        for (uint64_t position = firstPosition; position <= last; ++position)
            action.texts.push_back(tokenAt(request.tokens, position));
        request.sentToCaller = last;
        request.unwrittenBytes += action.texts.size();
        context.output.push_back(std::move(action));
    }

    void sendEnd(step_context& context, request_entry& request)
    {
        if (!request.caller)
            return;
        const uint64_t count = request.tokens.ends.size();
        if (request.isStreamed)
            context.output.push_back(send_stream_end { *request.caller, request.id, request.work.name, request.finishReason, count });
        else
            context.output.push_back(send_completion { *request.caller, request.id, request.work.name, request.tokens.text, request.finishReason, count });
    }

    void fail(step_context& context, request_entry& request, const Common::failure& reason)
    {
        note(context, "request_failed", request, { { "code", nameOf(reason.kind) }, { "attempts", request.attemptsBegun }, { "tokens", request.tokens.ends.size() } });
        if (request.caller && request.isStreamed)
            context.output.push_back(send_stream_failure { *request.caller, request.id, reason });
        else if (request.caller)
            context.output.push_back(send_failure { *request.caller, request.id, reason });
        forget(context, request);
    }

    /// A finished answer is kept for a caller that is away, within bounds.
    void finish(step_context& context, request_entry& request)
    {
        const auto elapsed = std::chrono::duration<double>(context.clock.now - request.arrivedAt).count();
        note(context, "request_finished", request, { { "tokens", request.tokens.ends.size() }, { "attempts", request.attemptsBegun }, { "seconds", elapsed }, { "account", request.account.value }, { "class", request.work.name.value } });
        sendEnd(context, request);
        request.phase = request_phase::Finished;
        const bool isKept = !request.caller && context.state.requests.size() < maxFinishedKept;
        if (!isKept) {
            forget(context, request);
            return;
        }
        request.deadline = context.clock.now + context.state.settings.reconnectGrace;
    }

    Routing::attempt_outcome describeOutcome(const step_context& context, const request_entry& request, bool isFailed)
    {
        Routing::attempt_outcome outcome;
        outcome.isFailed = isFailed;
        if (!isFailed)
            outcome.answerSeconds = std::chrono::duration<double>(context.clock.now - request.attempt->begunAt).count();
        return outcome;
    }

    void goOnElsewhere(step_context& context, request_entry& request, std::string_view cause)
    {
        const Common::endpoint_id failed = request.attempt->endpoint;
        note(context, "attempt_failed", request, { { "endpoint", failed.value }, { "cause", cause }, { "tokens", request.tokens.ends.size() } });
        request.avoided.push_back(failed);
        closeAttempt(context, request, describeOutcome(context, request, true));
        // Work that was accepted and has made progress is moved at once; first tries are bounded by the budget.
        const bool hasProgress = !request.tokens.ends.empty();
        if (hasProgress || Limits::spendRetry(context.state.budgets, request.account))
            beginAttempt(context, request);
        else
            park(context, request, retryPause);
    }

    bool isRefusedForGood(const attempt_ended& message)
    {
        const bool isClientError = message.status >= statusBadRequest && message.status < statusServerError;
        return isClientError && message.status != statusTimeout && message.status != statusTooManyRequests;
    }

    std::chrono::milliseconds longestSilence(const request_entry& request)
    {
        if (request.attempt->hasFirstToken)
            return std::max(shortestStall, request.work.betweenTokensTarget * tokenStallTargetFactor);
        return std::max(shortestStall, request.work.firstTokenTarget * stallTargetFactor);
    }

    void watchAttempt(step_context& context, request_entry& request)
    {
        if (request.attempt->isPaused) {
            request.attempt->lastProgress = context.clock.now;
            return;
        }
        if (context.clock.now - request.attempt->lastProgress < longestSilence(request))
            return;
        context.output.push_back(cancel_attempt { request.attempt->number });
        goOnElsewhere(context, request, "stalled");
    }

    void noteFirstToken(step_context& context, request_entry& request)
    {
        if (request.attempt->hasFirstToken)
            return;
        request.attempt->hasFirstToken = true;
        Routing::endpoint_view* view = Routing::findView(context.state.router, request.attempt->endpoint);
        const double seconds = std::chrono::duration<double>(context.clock.now - request.attempt->begunAt).count();
        if (view)
            Routing::learnFirstToken(*view, seconds, request.attempt->predictedFirstTokenSeconds);
        request.attempt->isLate = seconds > std::chrono::duration<double>(request.work.firstTokenTarget).count();
        if (request.firstTokenAt)
            return;
        request.firstTokenAt = context.clock.now;
        const double sinceArrival = std::chrono::duration<double>(context.clock.now - request.arrivedAt).count();
        const bool isLate = sinceArrival > std::chrono::duration<double>(request.work.firstTokenTarget).count();
        Routing::learnTargetShare(context.state.router, request.work.name, isLate);
        note(context, "first_token", request, { { "seconds", sinceArrival }, { "endpoint", request.attempt->endpoint.value } });
    }

} // namespace

void beginModelWork(step_context& context, request_entry& request)
{
    if (request.isStreamed)
        context.output.push_back(send_stream_head { *request.caller, request.id, 0 });
    beginAttempt(context, request);
}

void takeTokens(step_context& context, request_entry& request, std::vector<std::string>&& texts)
{
    noteFirstToken(context, request);
    request.attempt->lastProgress = context.clock.now;
    const uint64_t firstNew = request.tokens.ends.size() + 1;
    for (const std::string& text : texts) {
        request.tokens.text += text;
        request.tokens.ends.push_back(static_cast<uint32_t>(request.tokens.text.size()));
    }
    context.state.counters.tokensGenerated += texts.size();
    if (!request.caller || !request.isStreamed)
        return;
    request.sentToCaller = request.tokens.ends.size();
    for (const std::string& text : texts)
        request.unwrittenBytes += text.size();
    context.output.push_back(send_tokens { *request.caller, request.id, request.work.name, firstNew, std::move(texts) });
    if (request.unwrittenBytes < context.state.settings.pauseAboveBytes || request.attempt->isPaused)
        return;
    request.attempt->isPaused = true;
    context.output.push_back(pause_attempt { request.attempt->number });
}

void modelAttemptEnded(step_context& context, request_entry& request, const attempt_ended& message)
{
    const bool isWhole = message.end == Http::transfer_end::Complete && message.status == statusOk && !message.finishReason.empty();
    if (isWhole) {
        closeAttempt(context, request, describeOutcome(context, request, false));
        request.finishReason = message.finishReason;
        finish(context, request);
        return;
    }
    if (message.end == Http::transfer_end::Complete && isRefusedForGood(message)) {
        closeAttempt(context, request, {});
        fail(context, request, { Common::failure_kind::EndpointFailed, request.work.name.value, Common::run_state::NotRun, 0 });
        return;
    }
    goOnElsewhere(context, request, message.end == Http::transfer_end::NotSent ? "refused" : "cut");
}

void callerWritten(step_context& context, request_entry& request, const caller_written& message)
{
    if (!message.isAlive) {
        detachCaller(context, request);
        request.callerGoneAt = context.clock.now;
        note(context, "caller_gone", request, { { "tokens_sent", request.sentToCaller } });
        return;
    }
    request.unwrittenBytes -= std::min(request.unwrittenBytes, message.bytes);
    const bool isLow = request.unwrittenBytes < context.state.settings.pauseAboveBytes / 2;
    if (!isLow || !request.attempt || !request.attempt->isPaused)
        return;
    request.attempt->isPaused = false;
    request.attempt->lastProgress = context.clock.now;
    context.output.push_back(resume_attempt { request.attempt->number });
}

void resumeCaller(step_context& context, request_entry& request, const caller_resume& message)
{
    detachCaller(context, request);
    request.caller = message.token;
    request.callerGoneAt.reset();
    request.isStreamed = message.isStreamed;
    context.state.byCaller[message.token.value] = &request;
    note(context, "caller_resumed", request, { { "after", message.afterPosition } });
    if (request.isStreamed)
        context.output.push_back(send_stream_head { message.token, request.id, message.afterPosition });
    sendFrom(context, request, message.afterPosition + 1);
    if (request.phase != request_phase::Finished)
        return;
    sendEnd(context, request);
    forget(context, request);
}

void tickModelWork(step_context& context, request_entry& request)
{
    const Common::instant now = context.clock.now;
    if (request.callerGoneAt && now - *request.callerGoneAt >= context.state.settings.reconnectGrace) {
        note(context, "request_abandoned", request, { { "tokens", request.tokens.ends.size() } });
        forget(context, request);
        return;
    }
    if (now >= request.deadline) {
        fail(context, request, { Common::failure_kind::DeadlineExceeded, request.work.name.value, Common::run_state::Unknown, 0 });
        return;
    }
    if (request.phase == request_phase::Parked && now >= request.notBefore)
        beginAttempt(context, request);
    else if (request.phase == request_phase::Running)
        watchAttempt(context, request);
}

void offerTransfer(step_context& context, request_entry& request)
{
    if (request.phase == request_phase::Finished)
        return;
    request_transfer item { request.id, request.account, request.work.name, request.body, {}, request.isStreamed };
    for (uint64_t position = 1; position <= request.tokens.ends.size(); ++position)
        item.tokens.push_back(tokenAt(request.tokens, position));
    // From here on no token may reach the caller: the taker goes on from what the offer holds.
    if (request.attempt) {
        context.output.push_back(cancel_attempt { request.attempt->number });
        closeAttempt(context, request, {});
    }
    request.isOffered = true;
    park(context, request, offerTimeLimit);
    note(context, "transfer_offered", request, { { "tokens", item.tokens.size() } });
    context.output.push_back(offer_transfer { std::move(item) });
}

void takeTransfer(step_context& context, transfer_offered&& message)
{
    dispatch_state& state = context.state;
    const auto work = state.config->classes.find(message.item.work);
    if (state.isDraining || work == state.config->classes.end())
        return;
    if (state.requests.contains(message.item.request)) {
        context.output.push_back(accept_transfer { message.from, message.item.request });
        return;
    }
    auto request = std::make_unique<request_entry>();
    request->id = message.item.request;
    request->account = message.item.account;
    request->work = work->second;
    request->isStreamed = message.item.isStreamed;
    request->body = std::move(message.item.body);
    for (const std::string& text : message.item.tokens) {
        request->tokens.text += text;
        request->tokens.ends.push_back(static_cast<uint32_t>(request->tokens.text.size()));
    }
    request->arrivedAt = context.clock.now;
    request->deadline = context.clock.now + state.settings.longestRequest;
    request->callerGoneAt = context.clock.now + transferGrace;
    request_entry& taken = *request;
    Limits::noteAdmitted(state.admission, taken.account);
    state.requests.emplace(taken.id, std::move(request));
    note(context, "transfer_accepted", taken, { { "from", message.from.value }, { "tokens", taken.tokens.ends.size() } });
    context.output.push_back(accept_transfer { message.from, taken.id });
    beginAttempt(context, taken);
}

void finishTransfer(step_context& context, request_entry& request, const std::string& httpAddress)
{
    // An offer that was taken back goes on here; the taker's copy ends unused.
    if (!request.isOffered)
        return;
    if (request.caller)
        context.output.push_back(send_redirect { *request.caller, request.id, httpAddress, request.isStreamed });
    note(context, "transfer_finished", request, { { "at", httpAddress } });
    forget(context, request);
}

} // namespace Dispatch
