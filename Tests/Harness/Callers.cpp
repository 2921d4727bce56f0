#include "Harness/Callers.h"

#include "Common/Text.h"
#include "StandIns/StandIns.h"

#include <chrono>
#include <optional>
#include <thread>

namespace Harness {

namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::milliseconds reconnectDelay { 100 };
    constexpr std::chrono::milliseconds refusalDelay { 200 };

    /// Parses server-sent events and applies them to the result.
    struct event_reader {
        stream_result& result;
        const stream_request& request;
        std::string pending;
        std::string event;
        std::string redirectUrl;

        void applyEventId(const std::string& id)
        {
            const size_t colon = id.rfind(':');
            result.requestId = id.substr(0, colon);
            result.isAccepted = true;
            const uint64_t position = Common::parseUnsigned(id.substr(colon + 1)).value_or(0);
            const bool isWithoutToken = position == result.tokens;
            result.isOutOfOrder = result.isOutOfOrder || (!isWithoutToken && position != result.tokens + 1);
        }

        void applyData(const std::string& data)
        {
            const json body = json::parse(data, nullptr, false);
            if (event == "moved") {
                redirectUrl = body.value("location", "");
                return;
            }
            if (event == "error") {
                result.error = body["error"].value("code", "");
                return;
            }
            if (!body.is_object())
                return;
            const json& choice = body["choices"][0];
            if (choice["delta"].contains("content")) {
                result.text += choice["delta"]["content"].get<std::string>();
                ++result.tokens;
                if (request.onToken)
                    request.onToken(result.tokens);
            }
            if (choice["finish_reason"].is_string())
                result.isFinished = true;
        }

        void parseLine(const std::string& line)
        {
            if (line.starts_with("id: "))
                applyEventId(line.substr(4));
            else if (line.starts_with("event: "))
                event = line.substr(7);
            else if (line.starts_with("data: "))
                applyData(line.substr(6));
            else if (line.empty())
                event.clear();
        }

        void feed(std::string_view bytes)
        {
            pending.append(bytes);
            size_t end = 0;
            while ((end = pending.find('\n')) != std::string::npos) {
                parseLine(pending.substr(0, end));
                pending.erase(0, end + 1);
            }
        }
    };

    struct stream_end {
        int status { 0 };
        std::string redirectUrl;
    };

    stream_end runStream(const cluster& target, const stream_request& request, stream_result& result, const std::string& method, const std::string& url, const std::string& body)
    {
        Http::client client;
        Http::outgoing_request outgoing;
        outgoing.method = method;
        outgoing.url = url;
        outgoing.body = body;
        outgoing.timeLimit = std::chrono::milliseconds(request.timeLimitMilliseconds);
        outgoing.headers = { { "Authorization", "Bearer " + target.accountKey() }, { "Last-Event-ID", result.requestId + ":" + std::to_string(result.tokens) } };
        event_reader reader { result, request, {}, {}, {} };
        std::optional<Http::transfer_answer> answer;
        client.start(
            std::move(outgoing), [&answer](Http::transfer_answer&& completed) { answer = std::move(completed); },
            [&reader](long status, std::string_view bytes) {
                if (status == 200)
                    reader.feed(bytes);
            });
        while (!answer)
            client.poll(pollInterval);
        if (!answer->redirectUrl.empty())
            reader.redirectUrl = answer->redirectUrl;
        return { static_cast<int>(answer->status), reader.redirectUrl };
    }

} // namespace

stream_result streamChat(const cluster& target, const stream_request& request)
{
    stream_result result;
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(request.timeLimitMilliseconds);
    const json body { { "model", "inspection-summary" }, { "stream", true }, { "max_tokens", request.tokens }, { "messages", json::array({ { { "role", "user" }, { "content", request.prompt } } }) } };
    int node = request.firstNode;
    std::string redirectUrl;
    while (std::chrono::steady_clock::now() < end && !result.isFinished && result.error.empty()) {
        stream_end streamEnd;
        if (!result.isAccepted) {
            streamEnd = runStream(target, request, result, "POST", target.nodeUrl(node) + "/v1/chat/completions", body.dump());
        } else {
            ++result.reconnects;
            const std::string url = redirectUrl.empty() ? target.nodeUrl(node) + "/v1/requests/" + result.requestId : redirectUrl;
            streamEnd = runStream(target, request, result, "GET", url, "");
        }
        if (result.isFinished)
            break;
        redirectUrl = streamEnd.redirectUrl;
        if (!redirectUrl.empty())
            continue;
        result.refusals += streamEnd.status >= 400 ? 1 : 0;
        node = node % target.settings().nodes + 1;
        std::this_thread::sleep_for(streamEnd.status >= 400 ? refusalDelay : reconnectDelay);
    }
    return result;
}

bool isWholeAnswer(const stream_result& result, const stream_request& request)
{
    std::string expected;
    for (uint64_t position = 0; position < request.tokens; ++position)
        expected += StandIns::tokenOf(request.prompt + "\n", position);
    return result.isFinished && !result.isOutOfOrder && result.tokens == request.tokens && result.text == expected;
}

call_result releaseCrates(const cluster& target, const std::string& key, const std::string& body, int firstNode, int maxAttempts, int timeLimitMilliseconds)
{
    call_result result;
    int node = firstNode;
    while (result.attempts < maxAttempts) {
        ++result.attempts;
        const http_answer answer = call("POST", target.nodeUrl(node) + "/v1/services/crate-release/releases", body,
            { { "Authorization", "Bearer " + target.accountKey() }, { "Idempotency-Key", key } }, timeLimitMilliseconds);
        result.status = answer.end == Http::transfer_end::Complete ? answer.status : 0;
        const json parsed = json::parse(answer.body, nullptr, false);
        const bool isFailure = parsed.is_object() && parsed.contains("error");
        result.code = isFailure ? parsed["error"].value("code", "") : "";
        result.run = isFailure ? parsed["error"].value("run", "") : "";
        result.isEveryAttemptNotRun = result.isEveryAttemptNotRun && result.run == "not_run";
        const bool isFinal = result.status == 200 || result.code == "outcome_unknown" || result.code == "idempotency_key_reused";
        if (isFinal)
            return result;
        node = node % target.settings().nodes + 1;
        std::this_thread::sleep_for(refusalDelay);
    }
    return result;
}

} // namespace Harness
