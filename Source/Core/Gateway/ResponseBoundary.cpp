#include "Gateway/ResponseBoundary.h"

namespace Gateway {

namespace {

    constexpr std::string_view statusLineStart = "HTTP/1.1 ";
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view nameEnd = ": ";

    /// @param lines header lines, each with its line end.
    std::vector<Http::header> parseHeaderLines(std::string_view lines)
    {
        std::vector<Http::header> headers;
        while (!lines.empty()) {
            const size_t end = std::min(lines.find(lineEnd), lines.size());
            const std::string_view line = lines.substr(0, end);
            lines.remove_prefix(std::min(end + lineEnd.size(), lines.size()));
            const size_t colon = line.find(nameEnd);
            if (colon != std::string_view::npos)
                headers.push_back({ std::string(line.substr(0, colon)), std::string(line.substr(colon + nameEnd.size())) });
        }
        return headers;
    }

} // namespace

std::optional<size_t> findResponseHead(std::string_view body, const wire_format& wire)
{
    for (size_t start = body.find(statusLineStart); start != std::string_view::npos; start = body.find(statusLineStart, start + 1)) {
        const size_t end = body.find(headEnd, start);
        if (end == std::string_view::npos)
            return {};
        const size_t firstLine = body.find(lineEnd, start);
        const std::string_view lines = body.substr(firstLine, end - firstLine);
        if (wire.readResponse(parseHeaderLines(lines)).hasProofOfOrigin)
            return start;
    }
    return {};
}

} // namespace Gateway
