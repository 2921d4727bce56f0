#include "Dispatch/ModelWork.h"

#include <algorithm>

namespace Dispatch {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusServerError = 500;
    constexpr int statusTimeout = 408;
    constexpr int statusTooManyRequests = 429;
    /// Delay of a retry that the account's retry budget didn't allow at once.
    constexpr std::chrono::milliseconds retryDelay { 200 };
    /// Delay until a request without a usable endpoint is tried again.
    constexpr std::chrono::milliseconds noEndpointRetryDelay { 500 };
    /// An attempt without progress is cancelled after a multiple of the target of its class, but not before this time.
    constexpr std::chrono::milliseconds minStallTimeout { 2000 };
    constexpr int firstTokenStallFactor = 4;
    constexpr int betweenTokensStallFactor = 20;
    /// A finished answer is kept for an absent caller only while this node holds fewer requests than this.
    constexpr size_t maxFinishedKept = 4096;
    /// An offer that no peer accepts within this time is withdrawn, and the request continues here.
    constexpr std::chrono::milliseconds offerTimeLimit { 1500 };
    /// A request that breaks off at so many engines before their first token may be what ends them.
    constexpr uint32_t maxAttemptsCut = 3;
    /// The same, if tokens came before.
    constexpr uint32_t maxAttemptsCutInAll = 8;
    /// Added to the reconnect grace of a transferred request: callers of the node that left learn the new address only
    /// when their connection ends.
    constexpr std::chrono::seconds transferGrace { 20 };

    /// Makes the engine continue after the tokens that were already generated.
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

    void park(step_context& context, request_entry& request, std::chrono::milliseconds delay)
    {
        request.phase = request_phase::Parked;
        request.notBefore = context.clock.now + delay;
    }

    void failRequest(step_context& context, request_entry& request, const Common::failure& reason)
    {
        recordEvent(context, "request_failed", request, { { "code", nameOf(reason.kind) }, { "attempts", request.attemptsBegun }, { "tokens", request.tokens.ends.size() } });
        if (request.caller && request.isStreamed)
            context.output.push_back(send_stream_failure { *request.caller, request.id, reason });
        else if (request.caller)
            context.output.push_back(send_failure { *request.caller, request.id, reason });
        removeRequest(context, request);
    }

    void beginAttempt(step_context& context, request_entry& request)
    {
        request.isOffered = false;
        if (isWorkRefused(context.state.refused, fingerprintOf(request), context.clock.now)) {
            failRequest(context, request, { Common::failure_kind::EndpointFailed, request.work.name.value, request.attemptsBegun > 0 ? Common::run_state::Unknown : Common::run_state::NotRun, 0 });
            return;
        }
        if (!assignEndpoint(context, request)) {
            park(context, request, noEndpointRetryDelay);
            return;
        }
        const Routing::endpoint_view* view = Routing::findView(context.state.router, request.attempt->endpoint);
        start_attempt action;
        action.attempt = request.attempt->number;
        action.endpoint = request.attempt->endpoint;
        action.address = view->info->address;
        action.path = "/v1/chat/completions";
        action.body = encodeEngineBody(request);
        action.timeLimit = context.state.settings.maxRequestDuration;
        context.output.push_back(std::move(action));
        context.state.counters.tokensRecomputed += request.tokens.ends.size();
    }

    void sendTokensFrom(step_context& context, request_entry& request, uint64_t firstPosition)
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

    void sendAnswerEnd(step_context& context, request_entry& request)
    {
        if (!request.caller)
            return;
        const uint64_t count = request.tokens.ends.size();
        if (request.isStreamed)
            context.output.push_back(send_stream_end { *request.caller, request.id, request.work.name, request.finishReason, count });
        else
            context.output.push_back(send_completion { *request.caller, request.id, request.work.name, request.tokens.text, request.finishReason, count });
    }

    /// Sends the end of the answer. Without a connected caller the answer is kept for the reconnect grace.
    void finishRequest(step_context& context, request_entry& request)
    {
        const auto elapsed = std::chrono::duration<double>(context.clock.now - request.arrivedAt).count();
        recordEvent(context, "request_finished", request, { { "tokens", request.tokens.ends.size() }, { "attempts", request.attemptsBegun }, { "seconds", elapsed }, { "account", request.account.value }, { "class", request.work.name.value } });
        sendAnswerEnd(context, request);
        request.phase = request_phase::Finished;
        const bool isKept = !request.caller && context.state.requests.size() < maxFinishedKept;
        if (!isKept) {
            removeRequest(context, request);
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

    void retryElsewhere(step_context& context, request_entry& request, std::string_view cause)
    {
        const Common::endpoint_id failed = request.attempt->endpoint;
        recordEvent(context, "attempt_failed", request, { { "endpoint", failed.value }, { "cause", cause }, { "tokens", request.tokens.ends.size() } });
        request.avoided.push_back(failed);
        closeAttempt(context, request, describeOutcome(context, request, true));
        // With tokens already generated the request continues at once; otherwise a retry uses the account's retry budget.
        const bool hasProgress = !request.tokens.ends.empty();
        if (hasProgress || Limits::spendRetry(context.state.budgets, request.account))
            beginAttempt(context, request);
        else
            park(context, request, retryDelay);
    }

    /// @return whether the request must not be sent to another engine.
    bool isLikelyCause(request_entry& request, Http::transfer_end end)
    {
        if (request.attempt->hasFirstToken)
            request.attemptsCut = 0;
        else if (end == Http::transfer_end::Cut)
            ++request.attemptsCut;
        if (end == Http::transfer_end::Cut)
            ++request.attemptsCutInAll;
        return request.attemptsCut >= maxAttemptsCut || request.attemptsCutInAll >= maxAttemptsCutInAll;
    }

    bool isPermanentRefusal(const attempt_ended& message)
    {
        const bool isClientError = message.status >= statusBadRequest && message.status < statusServerError;
        return isClientError && message.status != statusTimeout && message.status != statusTooManyRequests;
    }

    std::chrono::milliseconds stallTimeout(const request_entry& request)
    {
        if (request.attempt->hasFirstToken)
            return std::max(minStallTimeout, request.work.betweenTokensTarget * betweenTokensStallFactor);
        return std::max(minStallTimeout, request.work.firstTokenTarget * firstTokenStallFactor);
    }

    void cancelIfStalled(step_context& context, request_entry& request)
    {
        if (request.attempt->isPaused) {
            request.attempt->lastProgress = context.clock.now;
            return;
        }
        if (context.clock.now - request.attempt->lastProgress < stallTimeout(request))
            return;
        context.output.push_back(cancel_attempt { request.attempt->number });
        retryElsewhere(context, request, "stalled");
    }

    void recordFirstToken(step_context& context, request_entry& request)
    {
        if (request.attempt->hasFirstToken)
            return;
        request.attempt->hasFirstToken = true;
        Routing::endpoint_view* view = Routing::findView(context.state.router, request.attempt->endpoint);
        const double seconds = std::chrono::duration<double>(context.clock.now - request.attempt->begunAt).count();
        if (view)
            Routing::updateFirstTokenEstimate(*view, seconds, request.attempt->predictedFirstTokenSeconds);
        request.attempt->isLate = seconds > std::chrono::duration<double>(request.work.firstTokenTarget).count();
        if (request.firstTokenAt)
            return;
        request.firstTokenAt = context.clock.now;
        const double sinceArrival = std::chrono::duration<double>(context.clock.now - request.arrivedAt).count();
        const bool isLate = sinceArrival > std::chrono::duration<double>(request.work.firstTokenTarget).count();
        Routing::adaptTargetShare(context.state.router, request.work.name, isLate);
        recordEvent(context, "first_token", request, { { "seconds", sinceArrival }, { "endpoint", request.attempt->endpoint.value } });
    }

} // namespace

void beginModelWork(step_context& context, request_entry& request)
{
    if (request.isStreamed)
        context.output.push_back(send_stream_head { *request.caller, request.id, 0 });
    beginAttempt(context, request);
}

void appendTokens(step_context& context, request_entry& request, std::vector<std::string>&& texts)
{
    recordFirstToken(context, request);
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

void handleModelAttemptEnd(step_context& context, request_entry& request, const attempt_ended& message)
{
    const bool isComplete = message.end == Http::transfer_end::Complete && message.status == statusOk && !message.finishReason.empty();
    if (isComplete) {
        closeAttempt(context, request, describeOutcome(context, request, false));
        request.finishReason = message.finishReason;
        finishRequest(context, request);
        return;
    }
    if (message.end == Http::transfer_end::Complete && isPermanentRefusal(message)) {
        closeAttempt(context, request, {});
        failRequest(context, request, { Common::failure_kind::EndpointFailed, request.work.name.value, Common::run_state::NotRun, 0 });
        return;
    }
    if (isLikelyCause(request, message.end)) {
        closeAttempt(context, request, describeOutcome(context, request, true));
        refuseWork(context.state.refused, fingerprintOf(request), context.clock.now);
        failRequest(context, request, { Common::failure_kind::EndpointFailed, request.work.name.value, Common::run_state::Unknown, 0 });
        return;
    }
    retryElsewhere(context, request, message.end == Http::transfer_end::NotSent ? "refused" : "cut");
}

void handleCallerWritten(step_context& context, request_entry& request, const caller_progress& message)
{
    if (!message.isAlive) {
        detachCaller(context, request);
        request.callerGoneAt = context.clock.now;
        recordEvent(context, "caller_gone", request, { { "tokens_sent", request.sentToCaller } });
        return;
    }
    request.unwrittenBytes -= std::min(request.unwrittenBytes, message.bytes);
    const bool isBelowResumeThreshold = request.unwrittenBytes < context.state.settings.pauseAboveBytes / 2;
    if (!isBelowResumeThreshold || !request.attempt || !request.attempt->isPaused)
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
    recordEvent(context, "caller_resumed", request, { { "after", message.afterPosition } });
    if (request.isStreamed)
        context.output.push_back(send_stream_head { message.token, request.id, message.afterPosition });
    sendTokensFrom(context, request, message.afterPosition + 1);
    if (request.phase != request_phase::Finished)
        return;
    sendAnswerEnd(context, request);
    removeRequest(context, request);
}

void tickModelWork(step_context& context, request_entry& request)
{
    const Common::instant now = context.clock.now;
    if (request.callerGoneAt && now - *request.callerGoneAt >= context.state.settings.reconnectGrace) {
        recordEvent(context, "request_abandoned", request, { { "tokens", request.tokens.ends.size() } });
        removeRequest(context, request);
        return;
    }
    if (now >= request.deadline) {
        failRequest(context, request, { Common::failure_kind::DeadlineExceeded, request.work.name.value, Common::run_state::Unknown, 0 });
        return;
    }
    if (request.phase == request_phase::Parked && now >= request.notBefore)
        beginAttempt(context, request);
    else if (request.phase == request_phase::Running)
        cancelIfStalled(context, request);
}

void offerTransfer(step_context& context, request_entry& request)
{
    if (request.phase == request_phase::Finished)
        return;
    request_transfer transfer { request.id, request.account, request.work.name, request.body, {}, request.isStreamed };
    for (uint64_t position = 1; position <= request.tokens.ends.size(); ++position)
        transfer.tokens.push_back(tokenAt(request.tokens, position));
    // After this no token may reach the caller, because the accepting peer continues from the tokens in the offer.
    if (request.attempt) {
        context.output.push_back(cancel_attempt { request.attempt->number });
        closeAttempt(context, request, {});
    }
    request.isOffered = true;
    park(context, request, offerTimeLimit);
    recordEvent(context, "transfer_offered", request, { { "tokens", transfer.tokens.size() } });
    context.output.push_back(offer_transfer { std::move(transfer) });
}

void receiveTransfer(step_context& context, transfer_offered&& message)
{
    dispatch_state& state = context.state;
    const auto work = state.config->classes.find(message.transfer.work);
    if (state.isDraining || work == state.config->classes.end())
        return;
    if (state.requests.contains(message.transfer.request)) {
        context.output.push_back(accept_transfer { message.from, message.transfer.request });
        return;
    }
    auto request = std::make_unique<request_entry>();
    request->id = message.transfer.request;
    request->account = message.transfer.account;
    request->work = work->second;
    request->isStreamed = message.transfer.isStreamed;
    request->body = std::move(message.transfer.body);
    for (const std::string& text : message.transfer.tokens) {
        request->tokens.text += text;
        request->tokens.ends.push_back(static_cast<uint32_t>(request->tokens.text.size()));
    }
    request->arrivedAt = context.clock.now;
    request->deadline = context.clock.now + state.settings.maxRequestDuration;
    request->callerGoneAt = context.clock.now + transferGrace;
    request_entry& received = *request;
    Limits::recordAdmitted(state.admission, received.account);
    state.requests.emplace(received.id, std::move(request));
    recordEvent(context, "transfer_accepted", received, { { "from", message.from.value }, { "tokens", received.tokens.ends.size() } });
    context.output.push_back(accept_transfer { message.from, received.id });
    beginAttempt(context, received);
}

void finishTransfer(step_context& context, request_entry& request, const std::string& httpAddress)
{
    // The offer was withdrawn and the request continues here; the peer's copy is abandoned because no caller connects.
    if (!request.isOffered)
        return;
    if (request.caller)
        context.output.push_back(send_redirect { *request.caller, request.id, httpAddress, request.isStreamed });
    recordEvent(context, "transfer_finished", request, { { "at", httpAddress } });
    removeRequest(context, request);
}

} // namespace Dispatch
