#include "Entry/Answers.h"

namespace Entry {

namespace {

    using nlohmann::json;
    using nlohmann::ordered_json;

    std::string toJsonString(const std::string& text)
    {
        return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    }

    std::string chunkPrefix(const Common::request_id& request, const Common::class_name& work)
    {
        return "data: {\"id\":" + toJsonString(request.value) + ",\"object\":\"chat.completion.chunk\",\"model\":" + toJsonString(work.value)
            + ",\"choices\":[{\"index\":0,\"delta\":";
    }

} // namespace

std::string formatStreamHead(const Dispatch::send_stream_head& action)
{
    return "id: " + action.request.value + ":" + std::to_string(action.afterPosition) + "\n\n";
}

std::string formatTokens(const Dispatch::send_tokens& action)
{
    const std::string prefix = chunkPrefix(action.request, action.work);
    std::string bytes;
    uint64_t position = action.firstPosition;
    for (const std::string& text : action.texts) {
        bytes += "id: " + action.request.value + ":" + std::to_string(position++) + "\n";
        bytes += prefix + "{\"content\":" + toJsonString(text) + "},\"finish_reason\":null}]}\n\n";
    }
    return bytes;
}

std::string formatStreamEnd(const Dispatch::send_stream_end& action)
{
    std::string bytes = chunkPrefix(action.request, action.work) + "{},\"finish_reason\":" + toJsonString(action.finishReason) + "}]";
    bytes += ",\"usage\":{\"completion_tokens\":" + std::to_string(action.tokenCount) + "}}\n\n";
    return bytes + "data: [DONE]\n\n";
}

std::string formatStreamFailure(const Dispatch::send_stream_failure& action)
{
    return "event: error\ndata: " + Common::describeAsJson(action.reason) + "\n\n";
}

std::string formatCompletion(const Dispatch::send_completion& action)
{
    const ordered_json message { { "role", "assistant" }, { "content", action.text } };
    ordered_json choice { { "index", 0 } };
    choice["message"] = message;
    choice["finish_reason"] = action.finishReason;
    ordered_json body {
        { "id", action.request.value },
        { "object", "chat.completion" },
        { "model", action.work.value },
    };
    body["choices"] = ordered_json::array({ choice });
    body["usage"] = { { "completion_tokens", action.tokenCount } };
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace Entry
