#include "Filbertreel/Client.h"

#include "Http/Client.h"

#include <optional>

namespace Filbertreel {

namespace {

    using nlohmann::ordered_json;

    constexpr int firstErrorStatus = 300;
    constexpr std::chrono::milliseconds timeLimit { 15000 };
    constexpr std::chrono::milliseconds pollInterval { 100 };

    Http::transfer_answer runTransfer(Http::outgoing_request request)
    {
        Http::client client;
        std::optional<Http::transfer_answer> answer;
        client.start(std::move(request), [&answer](Http::transfer_answer&& received) { answer = std::move(received); });
        while (!answer)
            client.poll(pollInterval);
        return std::move(*answer);
    }

    Http::outgoing_request makeRequest(const connection_settings& settings, const std::string& url)
    {
        Http::outgoing_request request;
        request.url = url;
        request.headers = { { "Authorization", "Bearer " + settings.operatorKey }, { "Content-Type", "application/json" } };
        request.timeLimit = timeLimit;
        return request;
    }

    command_result<ordered_json> parseAnswer(const Http::transfer_answer& answer)
    {
        ordered_json body = ordered_json::parse(answer.body, nullptr, false);
        const int status = static_cast<int>(answer.status);
        if (body.is_discarded())
            return tl::unexpected(command_failure { command_failure_kind::Unreadable, status, {} });
        if (status >= firstErrorStatus)
            return tl::unexpected(command_failure { command_failure_kind::Refused, status, body });
        return body;
    }

} // namespace

command_result<ordered_json> get(const connection_settings& settings, const std::string& path)
{
    for (const std::string& node : settings.nodes) {
        const Http::transfer_answer answer = runTransfer(makeRequest(settings, node + path));
        if (answer.end == Http::transfer_end::Complete)
            return parseAnswer(answer);
    }
    return tl::unexpected(command_failure {});
}

command_result<ordered_json> post(const connection_settings& settings, const std::string& path, const nlohmann::json& body)
{
    for (const std::string& node : settings.nodes) {
        Http::outgoing_request request = makeRequest(settings, node + path);
        request.method = "POST";
        request.mayRepeat = false;
        request.body = body.dump();
        const Http::transfer_answer answer = runTransfer(std::move(request));
        if (answer.end == Http::transfer_end::Complete)
            return parseAnswer(answer);
        if (answer.end != Http::transfer_end::NotSent)
            return tl::unexpected(command_failure { command_failure_kind::Unreadable, 0, {} });
    }
    return tl::unexpected(command_failure {});
}

} // namespace Filbertreel
