#include "Gateway/EventStream.h"

#include "Common/Text.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Gateway {

namespace {

    constexpr std::string_view idField = "id:";
    constexpr std::string_view dataField = "data:";
    constexpr std::string_view lineStartOfData = "\ndata:";
    constexpr std::string_view versionPrefix = "HTTP/1.";

    /// @return the event's id, if it has a numeric one.
    std::optional<uint64_t> findId(std::string_view event)
    {
        size_t start = 0;
        while (start < event.size()) {
            const size_t end = std::min(event.find('\n', start), event.size());
            std::string_view line = event.substr(start, end - start);
            start = end + 1;
            if (!line.starts_with(idField))
                continue;
            line.remove_prefix(idField.size());
            while (!line.empty() && (line.front() == ' '))
                line.remove_prefix(1);
            while (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            return Common::parseUnsigned(line);
        }
        return {};
    }

    /// @return whether the event has a data line; comments have none.
    bool hasData(std::string_view event)
    {
        return event.starts_with(dataField) || event.find(lineStartOfData) != std::string_view::npos;
    }

    /// @return whether a line of an event is one that endpoints write.
    bool isFieldLine(std::string_view line)
    {
        constexpr std::array<std::string_view, 5> names { ":", "data", "event", "id", "retry" };
        const std::string_view name = line.substr(0, std::max<size_t>(1, std::min(line.find(':'), line.size())));
        return line.empty() || line == "\r" || std::find(names.begin(), names.end(), name) != names.end();
    }

    /// @return whether lines of an event follow the status line of a response, which may begin inside a line.
    bool holdsResponseHead(std::string_view event)
    {
        bool hasStatusLine = false;
        while (!event.empty()) {
            const std::string_view line = event.substr(0, event.find('\n'));
            event.remove_prefix(std::min(event.size(), line.size() + 1));
            const bool isField = isFieldLine(line);
            if (!isField && (hasStatusLine || line.starts_with(versionPrefix)))
                return true;
            hasStatusLine = hasStatusLine || line.find(versionPrefix) != std::string_view::npos;
        }
        return false;
    }

    /// @return whether an event can't be forwarded.
    bool isInvalid(const event_reader& reader, std::string_view event, bool hasId)
    {
        return holdsResponseHead(event) || (reader.isContinuation && !hasId && hasData(event));
    }

    /// @return the size in bytes of the first complete event including its blank line, or zero if there is none.
    size_t findEnd(std::string_view bytes, size_t searched)
    {
        for (size_t line = bytes.find('\n', searched); line != std::string_view::npos; line = bytes.find('\n', line + 1)) {
            const std::string_view next = bytes.substr(line + 1, 2);
            if (next.starts_with('\n'))
                return line + 2;
            if (next == "\r\n")
                return line + 3;
        }
        return 0;
    }

} // namespace

event_reader makeEventReader(const stream_position& position)
{
    event_reader reader;
    reader.skipUpTo = position.lastId;
    reader.isContinuation = position.eventCount > 0;
    return reader;
}

std::string extractEvents(event_reader& reader, stream_position& position, std::string_view bytes)
{
    constexpr size_t longestEnd = 3;
    reader.partial += bytes;
    std::string completeEvents;
    size_t start = 0;
    while (!reader.isInvalid) {
        const std::string_view rest = std::string_view(reader.partial).substr(start);
        const size_t size = findEnd(rest, std::exchange(reader.searched, 0));
        if (size == 0)
            break;
        const std::string_view event = rest.substr(0, size);
        const auto id = findId(event);
        reader.isInvalid = isInvalid(reader, event, id.has_value());
        if (reader.isInvalid)
            break;
        start += size;
        ++reader.eventCount;
        if (id && reader.skipUpTo && *id <= *reader.skipUpTo)
            continue;
        if (id)
            position.lastId = id;
        else if (hasData(event))
            position.hasUnnumberedEvents = true;
        ++position.eventCount;
        completeEvents += event;
    }
    reader.partial.erase(0, start);
    reader.searched = reader.partial.size() - std::min(reader.partial.size(), longestEnd);
    return completeEvents;
}

} // namespace Gateway
