#include "Gateway/EventStream.h"

#include "Common/Text.h"

namespace Gateway {

namespace {

    constexpr std::string_view idField = "id:";
    constexpr std::string_view dataField = "data:";
    constexpr std::string_view lineStartOfData = "\ndata:";

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

    /// @return the size in bytes of the first complete event including its blank line, or zero if there is none.
    size_t findEnd(std::string_view bytes)
    {
        const size_t plain = bytes.find("\n\n");
        const size_t carriage = bytes.find("\n\r\n");
        if (plain == std::string_view::npos && carriage == std::string_view::npos)
            return 0;
        return plain < carriage ? plain + 2 : carriage + 3;
    }

} // namespace

event_reader makeEventReader(const stream_position& position)
{
    return { {}, position.lastId };
}

std::string extractEvents(event_reader& reader, stream_position& position, std::string_view bytes)
{
    reader.partial += bytes;
    std::string completeEvents;
    size_t start = 0;
    while (true) {
        const std::string_view rest = std::string_view(reader.partial).substr(start);
        const size_t size = findEnd(rest);
        if (size == 0)
            break;
        const std::string_view event = rest.substr(0, size);
        start += size;
        const auto id = findId(event);
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
    return completeEvents;
}

} // namespace Gateway
