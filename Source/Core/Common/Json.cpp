#include "Common/Json.h"

#include <algorithm>

namespace Common {

namespace {

    using nlohmann::json;
    using std::chrono::milliseconds;

} // namespace

bool isNestedTooDeep(std::string_view text)
{
    size_t depth = 0;
    bool isInString = false;
    for (size_t index = 0; index < text.size(); ++index) {
        const char letter = text[index];
        if (letter == '"')
            isInString = !isInString;
        else if (isInString && letter == '\\')
            ++index;
        else if (!isInString && (letter == '[' || letter == '{') && ++depth > maxJsonDepth)
            return true;
        else if (!isInString && (letter == ']' || letter == '}') && depth > 0)
            --depth;
    }
    return false;
}

const json& memberOf(const json& object, const char* name)
{
    static const json missing;
    const auto found = object.find(name);
    return found == object.end() ? missing : *found;
}

std::string textMember(const json& object, const char* name)
{
    const json& member = memberOf(object, name);
    return member.is_string() ? member.get<std::string>() : std::string();
}

bool flagMember(const json& object, const char* name)
{
    const json& member = memberOf(object, name);
    return member.is_boolean() && member.get<bool>();
}

double numberMember(const json& object, const char* name, double defaultValue)
{
    const json& member = memberOf(object, name);
    return member.is_number() ? member.get<double>() : defaultValue;
}

milliseconds toDuration(double units, double unitMilliseconds)
{
    const auto limit = static_cast<double>(maxDecodedDuration.count());
    return milliseconds(toInteger<int64_t>(std::clamp(units * unitMilliseconds, -limit, limit)));
}

milliseconds durationMember(const json& object, const char* name, double unitMilliseconds)
{
    return toDuration(numberMember(object, name), unitMilliseconds);
}

} // namespace Common
