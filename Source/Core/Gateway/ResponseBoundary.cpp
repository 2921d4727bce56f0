#include "Gateway/ResponseBoundary.h"

#include <algorithm>
#include <cctype>

namespace Gateway {

namespace {

    constexpr std::string_view statusLineStart = "HTTP/1.1 ";
    constexpr size_t statusDigits = 3;
    constexpr size_t minStatusLineBytes = statusLineStart.size() + statusDigits;
    /// Longer lines hold no status line at their end.
    constexpr size_t maxStatusLineBytes = 1024;
    constexpr size_t maxHeadBytes = 32768;
    /// So much of a status line is hardly the end of anything else.
    constexpr size_t minKnownBytes = 5;
    constexpr std::chrono::milliseconds longWait { 100 };
    constexpr std::chrono::milliseconds shortWait { 20 };

    bool isDigit(char letter)
    {
        return letter >= '0' && letter <= '9';
    }

    /// @return whether the text begins with a status line's version and status.
    bool startsWithStatus(std::string_view text)
    {
        return text.size() >= minStatusLineBytes && text.starts_with(statusLineStart) && std::all_of(text.begin() + statusLineStart.size(), text.begin() + minStatusLineBytes, isDigit);
    }

    /// @return whether a line, which may begin with the rest of something else, ends with a status line.
    bool endsWithStatusLine(std::string_view text)
    {
        for (size_t start = text.rfind(statusLineStart); start != std::string_view::npos; start = start == 0 ? std::string_view::npos : text.rfind(statusLineStart, start - 1)) {
            if (startsWithStatus(text.substr(start)))
                return true;
        }
        return false;
    }

    bool isNameLetter(char letter)
    {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_' || letter == '.';
    }

    /// @return the size of the header name that the line begins with; zero if it isn't followed by a colon.
    size_t headerNameSize(std::string_view text)
    {
        const auto end = std::find_if_not(text.begin(), text.end(), isNameLetter);
        return end != text.end() && *end == ':' ? static_cast<size_t>(end - text.begin()) : 0;
    }

    std::string_view trim(std::string_view text)
    {
        while (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
        return text;
    }

    void endHead(boundary_scanner& scanner, const wire_format& wire)
    {
        scanner.isInHead = false;
        scanner.hasHead = true;
        if (scanner.headers.empty())
            return;
        const response_facts facts = wire.readResponse(scanner.headers);
        if (facts.hasProofOfOrigin || facts.hasNotRun || !facts.attemptId.empty())
            scanner.hasEndpointHead = true;
    }

    void beginHead(boundary_scanner& scanner)
    {
        scanner.isInHead = true;
        scanner.headBytes = 0;
        scanner.headers.clear();
    }

    void scanLine(boundary_scanner& scanner, std::string_view text, const wire_format& wire)
    {
        if (!text.empty() && text.back() == '\r')
            text.remove_suffix(1);
        scanner.headBytes += text.size();
        if (scanner.isInHead && text.empty())
            return endHead(scanner, wire);
        const size_t nameSize = headerNameSize(text);
        if (scanner.isInHead && nameSize > 0 && scanner.headBytes <= maxHeadBytes) {
            scanner.headers.push_back({ std::string(text.substr(0, nameSize)), std::string(trim(text.substr(nameSize + 1))) });
            return;
        }
        scanner.isInHead = false;
        if (endsWithStatusLine(text))
            beginHead(scanner);
    }

    /// Keeps as much of an unfinished line as a head may need.
    void limitLine(boundary_scanner& scanner)
    {
        const size_t kept = scanner.isInHead ? maxHeadBytes : maxStatusLineBytes;
        if (scanner.line.size() <= 2 * kept)
            return;
        scanner.isInHead = false;
        scanner.line.erase(0, scanner.line.size() - maxStatusLineBytes);
    }

    /// @return whether the text is a status line's version and status, or could become one.
    bool mayBeStatus(std::string_view text)
    {
        const size_t known = std::min(text.size(), statusLineStart.size());
        const std::string_view digits = text.substr(known, statusDigits);
        return statusLineStart.starts_with(text.substr(0, known)) && std::all_of(digits.begin(), digits.end(), isDigit);
    }

    /// @param line that may begin with the rest of something else.
    /// @param startsBefore only status lines that begin before this position count.
    /// @return the size of what may be a status line at the end of the line, from where it begins; zero if there is none.
    size_t openStatusBytes(std::string_view line, size_t startsBefore)
    {
        for (size_t start = 0; start < std::min(line.size(), startsBefore); ++start) {
            if (mayBeStatus(line.substr(start)))
                return line.size() - start;
        }
        return 0;
    }

    /// @return whether the unfinished line may be one of a head.
    bool mayBeHeaderLine(std::string_view line)
    {
        const auto end = std::find_if_not(line.begin(), line.end(), isNameLetter);
        return end == line.end() || *end == ':' || *end == '\r';
    }

    bool endsBetweenHeaderLines(const boundary_scanner& scanner)
    {
        return scanner.isInHead && mayBeHeaderLine(scanner.line);
    }

} // namespace

void scanBody(boundary_scanner& scanner, std::string_view bytes, const wire_format& wire)
{
    while (!bytes.empty()) {
        const size_t end = bytes.find('\n');
        scanner.line += bytes.substr(0, end);
        if (end == std::string_view::npos)
            return limitLine(scanner);
        scanLine(scanner, scanner.line, wire);
        scanner.line.clear();
        bytes.remove_prefix(end + 1);
    }
}

bool endsInsideHead(const boundary_scanner& scanner)
{
    return endsBetweenHeaderLines(scanner) || openStatusBytes(scanner.line, scanner.line.size()) >= minKnownBytes;
}

std::chrono::milliseconds surplusWait(const boundary_scanner& scanner)
{
    if (endsInsideHead(scanner))
        return longWait;
    const bool mayEndInside = openStatusBytes(scanner.line, scanner.line.size()) > 0;
    return mayEndInside || scanner.hasHead ? shortWait : std::chrono::milliseconds(0);
}

bool runsIntoResponse(const boundary_scanner& scanner, std::string_view surplus)
{
    if (scanner.hasEndpointHead || endsBetweenHeaderLines(scanner))
        return true;
    if (surplus.empty())
        return false;
    // A status line that begins after the body belongs to a response of its own.
    const std::string joined = scanner.line + std::string(surplus.substr(0, minStatusLineBytes));
    return scanner.hasHead || openStatusBytes(joined, scanner.line.size()) > 0;
}

} // namespace Gateway
