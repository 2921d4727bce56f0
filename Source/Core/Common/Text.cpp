#include "Common/Text.h"

#include <charconv>
#include <cstdio>

namespace Common {

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    size_t start = 0;
    while (true) {
        const size_t end = text.find(separator, start);
        if (end == std::string_view::npos)
            break;
        parts.emplace_back(text.substr(start, end - start));
        start = end + 1;
    }
    parts.emplace_back(text.substr(start));
    return parts;
}

std::optional<uint64_t> parseUnsigned(std::string_view text)
{
    uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return number;
}

bool equalSecrets(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (size_t index = 0; index < left.size(); ++index)
        difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    return difference == 0;
}

std::string zeroPadded(uint64_t number)
{
    constexpr size_t digits = 12;
    std::string text = std::to_string(number);
    if (text.size() < digits)
        text.insert(0, digits - text.size(), '0');
    return text;
}

} // namespace Common
