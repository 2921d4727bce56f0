#pragma once

/// @file
/// Decoding of JSON from stores, peers, callers and endpoints, of which any may hold what its writer shouldn't have written.
/// No function throws or recurses with the text, and every number is in the range of its type.

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace Common {

/// Deeper nested texts are not decoded: copies and output of a value recurse.
constexpr size_t maxJsonDepth = 256;

/// Limit of every decoded duration, so that sums with points in time stay in range.
constexpr std::chrono::milliseconds maxDecodedDuration = std::chrono::hours(24 * 365);

/// @return whether the arrays and objects of the text are nested deeper than maxJsonDepth.
bool isNestedTooDeep(std::string_view text);

/// @tparam value nlohmann::json or nlohmann::ordered_json.
/// @return the decoded text; a discarded value when it isn't valid JSON or is nested too deep.
template <typename value = nlohmann::json>
value parseJson(std::string_view text)
{
    return isNestedTooDeep(text) ? value(nlohmann::detail::value_t::discarded) : value::parse(text, nullptr, false);
}

/// @return the member, or null when there is none of this name or the value is no object.
const nlohmann::json& memberOf(const nlohmann::json& object, const char* name);

/// @return the member; empty when it isn't a string.
std::string textMember(const nlohmann::json& object, const char* name);

/// @return the member; false when it isn't a boolean.
bool flagMember(const nlohmann::json& object, const char* name);

/// @return the member; the default when it isn't a number.
double numberMember(const nlohmann::json& object, const char* name, double defaultValue = 0);

/// @return the number of units as milliseconds, limited to maxDecodedDuration in both directions.
std::chrono::milliseconds toDuration(double units, double unitMilliseconds = 1);

/// @return the member as a duration; zero when it isn't a number.
std::chrono::milliseconds durationMember(const nlohmann::json& object, const char* name, double unitMilliseconds = 1);

/// @return whether the value is an integer in the range of the type.
template <typename integer>
bool isIntegerOf(const nlohmann::json& value)
{
    if (value.is_number_unsigned())
        return std::in_range<integer>(value.get<uint64_t>());
    return value.is_number_integer() && std::in_range<integer>(value.get<int64_t>());
}

/// @return the number, or the nearest one in the range of the type.
template <typename integer>
integer toInteger(double number)
{
    if (!(number > static_cast<double>(std::numeric_limits<integer>::min())))
        return std::numeric_limits<integer>::min();
    if (number >= static_cast<double>(std::numeric_limits<integer>::max()))
        return std::numeric_limits<integer>::max();
    return static_cast<integer>(number);
}

/// @return the member, or the nearest number in the range of the type; the default when it isn't a number.
template <typename integer>
integer integerMember(const nlohmann::json& object, const char* name, integer defaultValue = 0)
{
    const nlohmann::json& member = memberOf(object, name);
    if (isIntegerOf<integer>(member))
        return member.get<integer>();
    return member.is_number() ? toInteger<integer>(member.get<double>()) : defaultValue;
}

} // namespace Common
