#include "Gateway/CallLog.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Gateway/AttemptOutcome.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace Gateway {

namespace {

    /// Prompt parts named in a log line, from the last shared one backwards.
    constexpr size_t maxLoggedParts = 8;
    constexpr size_t maxLoggedPartLength = 32;

    /// @return ids of the parts that other requests may share, without the last part.
    std::vector<std::string> sharedPartIds(const Scheduling::model_request& model)
    {
        std::vector<std::string> ids;
        const size_t count = model.parts.empty() ? 0 : model.parts.size() - 1;
        for (size_t part = count - std::min(count, maxLoggedParts); part < count; ++part)
            ids.push_back(model.parts[part].id.substr(0, maxLoggedPartLength));
        return ids;
    }

    /// @return the fingerprint of the whole request, then those of the same parts.
    std::vector<std::string> fingerprintTexts(const std::vector<Quarantine::fingerprint>& fingerprints)
    {
        std::vector<std::string> texts;
        if (fingerprints.empty())
            return texts;
        texts.push_back(Common::toHex(fingerprints.front().value));
        for (size_t part = fingerprints.size() - std::min(fingerprints.size() - 1, maxLoggedParts); part < fingerprints.size(); ++part)
            texts.push_back(Common::toHex(fingerprints[part].value));
        return texts;
    }

    /// @return how far a request has got.
    const char* stageOf(const proxied_call& call)
    {
        if (call.progress.hasHeadSent)
            return "streaming";
        if (!call.currentAttempt || !call.currentAttempt->channel)
            return "unplaced";
        return call.currentAttempt->headReceived ? "answer_begun" : "sent";
    }

    /// Adds what tells which bytes an attempt's response was made of.
    void addResponseFields(nlohmann::json& fields, const proxied_call& call)
    {
        const attempt& current = *call.currentAttempt;
        if (current.status == 0)
            return;
        fields["framing"] = nameOf(current.framing);
        fields["reused_connection"] = current.isConnectionReused;
        fields["unfinished_event_bytes"] = current.events.partial.size();
        if (current.response.attemptId != call.facts.attemptId)
            fields["response_request"] = current.response.attemptId;
    }

} // namespace

void logRetry(const proxied_call& call, attempt_end outcome)
{
    nlohmann::json fields { { "request", call.facts.attemptId }, { "end", nameOf(outcome) }, { "endpoint", call.currentAttempt->placement.endpoint.value }, { "status", call.currentAttempt->status }, { "sends", call.attemptCount } };
    addResponseFields(fields, call);
    Common::logEvent(Common::log_level::Info, "attempt_repeated", std::move(fields));
}

void logSecondResponse(const proxied_call& call)
{
    nlohmann::json fields { { "request", call.facts.attemptId }, { "endpoint", call.currentAttempt->placement.endpoint.value } };
    addResponseFields(fields, call);
    Common::logEvent(Common::log_level::Warning, "second_response_in_body", std::move(fields));
}

void logBrokenAttempt(const proxied_call& call, size_t othersInFlight, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    nlohmann::json fields { { "request", call.facts.attemptId }, { "endpoint", current.placement.endpoint.value }, { "status", current.status }, { "others_in_flight", othersInFlight } };
    fields["route"] = call.route->name.value;
    fields["fingerprints"] = fingerprintTexts(call.fingerprints);
    fields["ms_after_start"] = std::llround(toMs(now - current.begun));
    if (current.headReceived)
        fields["ms_after_head"] = std::llround(toMs(now - *current.headReceived));
    if (call.facts.model)
        fields["shared_parts"] = sharedPartIds(*call.facts.model);
    Common::logEvent(Common::log_level::Info, "attempt_broken", std::move(fields));
}

void logEnd(const proxied_call& call, std::string_view outcome, int status, Common::instant now)
{
    nlohmann::json fields { { "request", call.facts.attemptId }, { "outcome", outcome }, { "status", status }, { "ms", std::llround(toMs(now - call.arrived)) } };
    fields["catalog"] = call.catalog ? call.catalog->version : 0;
    if (call.route) {
        fields["route"] = call.route->name.value;
        fields["fingerprints"] = fingerprintTexts(call.fingerprints);
    }
    if (!call.account.value.empty())
        fields["account"] = call.account.value;
    if (call.refusedGrant) {
        fields["allowance_left"] = std::llround(call.refusedGrant->level);
        fields["allowance_in_hand"] = std::llround(call.refusedGrant->inHand);
        fields["allowance_per_s"] = std::llround(Catalog::findAccount(*call.catalog, call.facts.key)->allowed.perSecond);
    }
    if (call.allowanceRefunded > 0) {
        fields["allowance_refunded"] = std::llround(call.allowanceRefunded);
        fields["endpoints_run"] = call.progress.endpointsRun;
    }
    if (call.facts.timeBudget)
        fields["budget_ms"] = call.facts.timeBudget->count();
    if (call.firstByteMs > 0)
        fields["first_ms"] = std::llround(call.firstByteMs);
    if (call.currentAttempt) {
        fields["endpoint"] = call.currentAttempt->placement.endpoint.value;
        fields["predicted_ms"] = std::llround(call.currentAttempt->placement.predictedMs);
        fields["fresh_tokens"] = std::llround(call.currentAttempt->placement.uncachedTokens);
        fields["sends"] = call.attemptCount;
        if (call.currentAttempt->relayedTo)
            fields["relayed_to"] = call.currentAttempt->relayedTo->value;
        addResponseFields(fields, call);
    }
    if (call.facts.relayedEndpoints)
        fields["relayed_endpoints"] = *call.facts.relayedEndpoints;
    if (call.facts.model)
        fields["prompt_tokens"] = call.facts.model->promptTokens;
    Common::logEvent(Common::log_level::Info, "request_ended", std::move(fields));
}

void logCut(const proxied_call& call, Common::instant now)
{
    nlohmann::json fields { { "request", call.facts.attemptId }, { "ms", std::llround(toMs(now - call.arrived)) }, { "stage", stageOf(call) }, { "sends", call.attemptCount } };
    if (call.route)
        fields["route"] = call.route->name.value;
    if (call.currentAttempt)
        fields["endpoint"] = call.currentAttempt->placement.endpoint.value;
    Common::logEvent(Common::log_level::Warning, "request_cut", std::move(fields));
}

std::string writeRequest(const proxied_call& call, const std::vector<Http::header>& lines)
{
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", call.request.method, call.request.target);
    for (const Http::header& line : lines) {
        bytes += line.name;
        bytes += ": ";
        bytes += line.value;
        bytes += "\r\n";
    }
    if (!call.request.body.empty() || call.request.method == "POST" || call.request.method == "PUT")
        bytes += fmt::format("Content-Length: {}\r\n", call.request.body.size());
    bytes += "\r\n";
    bytes += call.request.body;
    return bytes;
}

} // namespace Gateway
