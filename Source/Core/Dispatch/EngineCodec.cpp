#include "Dispatch/EngineCodec.h"

#include <nlohmann/json.hpp>

namespace Dispatch {

namespace {

    using nlohmann::json;

    constexpr std::string_view dataPrefix = "data:";
    constexpr std::string_view doneMark = "[DONE]";

    std::string_view trim(std::string_view text)
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\r'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\r'))
            text.remove_suffix(1);
        return text;
    }

    void readChoice(engine_stream& stream, const json& choice, std::vector<std::string>& texts)
    {
        const auto finish = choice.find("finish_reason");
        if (finish != choice.end() && finish->is_string())
            stream.finishReason = finish->get<std::string>();
        const auto delta = choice.find("delta");
        if (delta == choice.end() || !delta->is_object())
            return;
        const auto content = delta->find("content");
        if (content != delta->end() && content->is_string() && !content->get_ref<const std::string&>().empty())
            texts.push_back(content->get<std::string>());
    }

    void readLine(engine_stream& stream, std::string_view line, std::vector<std::string>& texts)
    {
        if (line.substr(0, dataPrefix.size()) != dataPrefix)
            return;
        const std::string_view data = trim(line.substr(dataPrefix.size()));
        if (data == doneMark || stream.isNonsense)
            return;
        const json event = json::parse(data, nullptr, false);
        const auto choices = event.is_object() ? event.find("choices") : event.end();
        if (!event.is_object() || choices == event.end() || !choices->is_array()) {
            stream.isNonsense = true;
            return;
        }
        if (!choices->empty() && choices->front().is_object())
            readChoice(stream, choices->front(), texts);
    }

} // namespace

std::vector<std::string> readEngineBytes(engine_stream& stream, std::string_view bytes)
{
    std::vector<std::string> texts;
    stream.pending.append(bytes);
    size_t start = 0;
    while (true) {
        const size_t end = stream.pending.find('\n', start);
        if (end == std::string::npos)
            break;
        readLine(stream, std::string_view(stream.pending).substr(start, end - start), texts);
        start = end + 1;
    }
    stream.pending.erase(0, start);
    if (stream.pending.size() > longestEngineEvent)
        stream.isNonsense = true;
    return texts;
}

} // namespace Dispatch
