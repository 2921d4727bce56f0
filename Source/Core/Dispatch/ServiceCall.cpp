#include "Dispatch/ServiceCall.h"

#include "Common/Hash.h"

namespace Dispatch {

namespace {

    using Common::failure;
    using Common::failure_kind;
    using Common::run_state;

    constexpr int noEndpointRetryAfterSeconds = 1;
    constexpr uint32_t maxAttempts = 3;
    /// Interval at which an outcome that couldn't be stored is written again and an unsettled claim is read again.
    constexpr std::chrono::milliseconds recordRetryInterval { 500 };
    /// A claim write without a reply may be applied late; its row is checked for this long.
    constexpr std::chrono::seconds settlePeriod { 30 };
    constexpr std::chrono::milliseconds maxServiceCallDuration { 20000 };

    void answerFailure(step_context& context, request_entry& request, const failure& reason)
    {
        recordEvent(context, "call_refused", request, { { "code", nameOf(reason.kind) }, { "run", nameOf(reason.run) } });
        if (request.caller)
            context.output.push_back(send_failure { *request.caller, request.id, reason });
        detachCaller(context, request);
    }

    void answerOutcome(step_context& context, request_entry& request, const Idempotency::call_outcome& outcome, bool isReplay)
    {
        if (request.caller)
            context.output.push_back(send_service_answer { *request.caller, request.id, outcome.status, outcome.body, isReplay });
        detachCaller(context, request);
    }

    bool isAtMostOnce(const request_entry& request)
    {
        return !request.work.isIdempotent;
    }

    Idempotency::call_claim makeClaim(const step_context& context, const request_entry& request)
    {
        Idempotency::call_claim claim;
        claim.key = Idempotency::recordKey(request.account, request.idempotencyKey);
        claim.record.state = Idempotency::call_state::Dispatching;
        claim.record.attemptToken = request.id.value;
        claim.record.bodyHash = Common::toHex(Common::hash64(request.work.name.value + "\n" + request.path + "\n" + request.rawBody));
        claim.record.node = context.state.settings.node.value;
        claim.record.claimedAt = context.clock.wall;
        return claim;
    }

    void writeClaim(step_context& context, request_entry& request)
    {
        const Idempotency::call_claim& claim = *request.claim;
        context.output.push_back(write_record { request.id, record_step::ClaimWritten,
            Idempotency::encodeRecord(claim.key, claim.record, claim.record.rowVersion) });
    }

    void writeOutcome(step_context& context, request_entry& request)
    {
        request.notBefore = context.clock.now + recordRetryInterval;
        const uint64_t claimVersion = request.claim->record.rowVersion + 1;
        context.output.push_back(write_record { request.id, record_step::OutcomeWritten,
            Idempotency::encodeRecord(request.claim->key, *request.unsavedOutcome, claimVersion) });
    }

    void storeOutcome(step_context& context, request_entry& request, Idempotency::call_state state, Idempotency::call_outcome outcome)
    {
        Idempotency::call_record record = request.claim->record;
        record.state = state;
        record.outcome = std::move(outcome);
        request.unsavedOutcome = std::move(record);
        request.phase = request_phase::Recording;
        writeOutcome(context, request);
    }

    /// Answers with a failure and marks the claim as not run: nothing was sent, so the call can be claimed again.
    void releaseClaim(step_context& context, request_entry& request, const failure& reason)
    {
        answerFailure(context, request, reason);
        if (isAtMostOnce(request))
            storeOutcome(context, request, Idempotency::call_state::NotRun, {});
        else
            removeRequest(context, request);
    }

    void sendCall(step_context& context, request_entry& request)
    {
        if (!assignEndpoint(context, request)) {
            releaseClaim(context, request, { failure_kind::NoEndpoint, request.work.name.value, run_state::NotRun, noEndpointRetryAfterSeconds });
            return;
        }
        const Routing::endpoint_view* view = Routing::findView(context.state.router, request.attempt->endpoint);
        start_attempt action;
        action.attempt = request.attempt->number;
        action.endpoint = request.attempt->endpoint;
        action.address = view->info->address;
        action.path = request.path;
        action.body = request.rawBody;
        action.idempotencyKey = request.idempotencyKey;
        action.isModelWork = false;
        action.mayRepeat = !isAtMostOnce(request);
        action.timeLimit = std::min(maxServiceCallDuration, request.work.answerTarget);
        context.output.push_back(std::move(action));
    }

    void scheduleSettling(step_context& context, request_entry& request)
    {
        request.phase = request_phase::Settling;
        request.deadline = context.clock.now + settlePeriod;
        request.notBefore = context.clock.now + recordRetryInterval;
    }

    void applyDecision(step_context& context, request_entry& request, Idempotency::claim_decision&& decision)
    {
        if (std::holds_alternative<Idempotency::write_claim>(decision))
            writeClaim(context, request);
        if (std::holds_alternative<Idempotency::read_claim>(decision))
            context.output.push_back(read_record { request.id, record_step::ClaimRead, request.claim->key });
        if (std::holds_alternative<Idempotency::send_call>(decision))
            sendCall(context, request);
        if (const auto* replay = std::get_if<Idempotency::replay_outcome>(&decision)) {
            recordEvent(context, "outcome_replayed", request, {});
            answerOutcome(context, request, replay->outcome, true);
            removeRequest(context, request);
        }
        const auto* refusal = std::get_if<Idempotency::refuse_call>(&decision);
        if (!refusal)
            return;
        answerFailure(context, request, refusal->reason);
        if (refusal->isUnsettled)
            scheduleSettling(context, request);
        else
            removeRequest(context, request);
    }

    /// Marks the claim of a refused call as not run if its write was applied after all.
    void settleClaim(step_context& context, request_entry& request, const Platform::table_reply& reply)
    {
        if (reply.outcome != Platform::table_outcome::Done || reply.rows.empty())
            return;
        const auto found = Idempotency::decodeRecord(reply.rows.front());
        const bool isOurs = found && found->attemptToken == request.claim->record.attemptToken && found->state == Idempotency::call_state::Dispatching;
        if (!isOurs) {
            removeRequest(context, request);
            return;
        }
        request.claim->record.rowVersion = found->rowVersion - 1;
        storeOutcome(context, request, Idempotency::call_state::NotRun, {});
    }

    void handleOutcomeWritten(step_context& context, request_entry& request, Platform::table_outcome outcome)
    {
        // A failed condition means that an earlier write whose reply was lost has already stored the outcome.
        const bool isStored = outcome == Platform::table_outcome::Done || outcome == Platform::table_outcome::ConditionFailed;
        if (!isStored)
            return;
        recordEvent(context, "outcome_stored", request, { { "state", Idempotency::nameOf(request.unsavedOutcome->state) } });
        removeRequest(context, request);
    }

    bool isAnswered(const attempt_ended& message)
    {
        return message.end == Http::transfer_end::Complete && message.status > 0;
    }

    void tryElsewhere(step_context& context, request_entry& request, const failure& lastFailure)
    {
        const bool mayRetry = request.attemptsBegun < maxAttempts && Limits::spendRetry(context.state.budgets, request.account);
        if (mayRetry)
            sendCall(context, request);
        else
            releaseClaim(context, request, lastFailure);
    }

} // namespace

void beginServiceCall(step_context& context, request_entry& request)
{
    if (!isAtMostOnce(request)) {
        sendCall(context, request);
        return;
    }
    request.claim = makeClaim(context, request);
    request.phase = request_phase::Claiming;
    writeClaim(context, request);
}

void handleServiceAttemptEnd(step_context& context, request_entry& request, const attempt_ended& message)
{
    const Common::endpoint_id endpoint = request.attempt->endpoint;
    Routing::attempt_outcome outcome;
    outcome.isFailed = !isAnswered(message);
    if (!outcome.isFailed)
        outcome.answerSeconds = std::chrono::duration<double>(context.clock.now - request.attempt->begunAt).count();
    closeAttempt(context, request, outcome);
    if (isAnswered(message)) {
        recordEvent(context, "call_answered", request, { { "status", message.status }, { "endpoint", endpoint.value }, { "account", request.account.value } });
        answerOutcome(context, request, { message.status, message.body }, false);
        if (isAtMostOnce(request))
            storeOutcome(context, request, Idempotency::call_state::Done, { message.status, message.body });
        else
            removeRequest(context, request);
        return;
    }
    request.avoided.push_back(endpoint);
    const bool isProvenUnsent = message.end == Http::transfer_end::NotSent;
    recordEvent(context, "call_attempt_failed", request, { { "endpoint", endpoint.value }, { "sent", !isProvenUnsent } });
    if (isProvenUnsent) {
        tryElsewhere(context, request, { failure_kind::NoEndpoint, request.work.name.value, run_state::NotRun, noEndpointRetryAfterSeconds });
        return;
    }
    const failure unknown { failure_kind::OutcomeUnknown, request.work.name.value, run_state::Unknown, 0 };
    if (!isAtMostOnce(request)) {
        tryElsewhere(context, request, unknown);
        return;
    }
    answerFailure(context, request, unknown);
    storeOutcome(context, request, Idempotency::call_state::Unknown, {});
}

void handleRecordReply(step_context& context, request_entry& request, const record_reply& message)
{
    switch (message.step) {
    case record_step::ClaimWritten:
        if (request.phase == request_phase::Claiming)
            applyDecision(context, request, Idempotency::afterClaimWrite(*request.claim, message.reply.outcome));
        return;
    case record_step::ClaimRead:
        if (request.phase == request_phase::Claiming)
            applyDecision(context, request, Idempotency::afterClaimRead(*request.claim, message.reply, context.clock.wall));
        return;
    case record_step::OutcomeWritten:
        if (request.phase == request_phase::Recording)
            handleOutcomeWritten(context, request, message.reply.outcome);
        return;
    case record_step::SettleRead:
        if (request.phase == request_phase::Settling)
            settleClaim(context, request, message.reply);
        return;
    }
}

void tickServiceCall(step_context& context, request_entry& request)
{
    const Common::instant now = context.clock.now;
    if (request.phase == request_phase::Settling && now >= request.deadline) {
        removeRequest(context, request);
        return;
    }
    if (now < request.notBefore)
        return;
    if (request.phase == request_phase::Recording)
        writeOutcome(context, request);
    if (request.phase != request_phase::Settling)
        return;
    request.notBefore = now + recordRetryInterval;
    context.output.push_back(read_record { request.id, record_step::SettleRead, request.claim->key });
}

} // namespace Dispatch
