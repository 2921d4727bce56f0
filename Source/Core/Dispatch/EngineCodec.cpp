#include "Dispatch/EngineCodec.h"

#include <array>

#include <nlohmann/json.hpp>

namespace Dispatch {

namespace {

    using nlohmann::json;

    constexpr std::string_view dataPrefix = "data:";
    constexpr std::string_view doneMarker = "[DONE]";
    /// Begins the head of a second response on the same connection.
    constexpr std::string_view httpVersionPrefix = "HTTP/";

    std::string_view trim(std::string_view text)
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\r'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\r'))
            text.remove_suffix(1);
        return text;
    }

    enum class event_member {
        Other,
        Choices,
        Delta,
        Content,
        FinishReason,
    };

    event_member classifyMember(std::string_view name)
    {
        if (name == "choices")
            return event_member::Choices;
        if (name == "delta")
            return event_member::Delta;
        if (name == "content")
            return event_member::Content;
        if (name == "finish_reason")
            return event_member::FinishReason;
        return event_member::Other;
    }

    /// Extracts the content and the finish reason of the first choice. It is a SAX handler because an event arrives for
    /// every token, so building a JSON document for each would be too expensive.
    class event_handler final : public nlohmann::json_sax<json> {
    public:
        bool hasChoices { false };
        std::string content;
        std::string finishReason;

        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

        bool string(string_t& value) override
        {
            if (isAt(deltaDepth, event_member::Content) && m_members[choiceDepth] == event_member::Delta)
                content = std::move(value);
            else if (isAt(choiceDepth, event_member::FinishReason))
                finishReason = std::move(value);
            return true;
        }

        bool key(string_t& name) override
        {
            if (m_depth < m_members.size())
                m_members[m_depth] = classifyMember(name);
            return true;
        }

        bool start_object(std::size_t) override
        {
            m_choices += m_depth == listDepth ? 1 : 0;
            enter();
            return true;
        }

        bool end_object() override
        {
            --m_depth;
            return true;
        }

        bool start_array(std::size_t) override
        {
            hasChoices = hasChoices || (m_depth == eventDepth && m_members[eventDepth] == event_member::Choices);
            enter();
            return true;
        }

        bool end_array() override
        {
            --m_depth;
            return true;
        }

    private:
        // Nesting depths in {"choices":[{"delta":{"content":...}}]}.
        static constexpr size_t eventDepth = 1;
        static constexpr size_t listDepth = 2;
        static constexpr size_t choiceDepth = 3;
        static constexpr size_t deltaDepth = 4;
        static constexpr size_t trackedDepths = 5;

        void enter()
        {
            ++m_depth;
            if (m_depth < m_members.size())
                m_members[m_depth] = event_member::Other;
        }

        bool isAt(size_t depth, event_member member) const
        {
            return m_depth == depth && m_members[depth] == member && m_members[eventDepth] == event_member::Choices && m_choices == 1;
        }

        size_t m_depth { 0 };
        size_t m_choices { 0 };
        std::array<event_member, trackedDepths> m_members {};
    };

    void readLine(engine_stream& stream, std::string_view line, std::vector<std::string>& texts)
    {
        if (stream.hasEnded)
            return;
        if (line.starts_with(httpVersionPrefix)) {
            stream.isMalformed = true;
            return;
        }
        if (line.substr(0, dataPrefix.size()) != dataPrefix)
            return;
        const std::string_view data = trim(line.substr(dataPrefix.size()));
        stream.hasEnded = data == doneMarker;
        if (stream.hasEnded || stream.isMalformed)
            return;
        event_handler handler;
        if (!json::sax_parse(data, &handler) || !handler.hasChoices) {
            stream.isMalformed = true;
            return;
        }
        if (!handler.finishReason.empty()) {
            stream.finishReason = std::move(handler.finishReason);
            stream.hasEnded = true;
        }
        if (!handler.content.empty())
            texts.push_back(std::move(handler.content));
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
    if (stream.pending.size() > maxEngineEventBytes)
        stream.isMalformed = true;
    return texts;
}

} // namespace Dispatch
