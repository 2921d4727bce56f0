/// @file
/// Tests of the bounded decoding of JSON and of addresses.

#include "Common/Json.h"
#include "Common/Address.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Common;

std::string repeated(const std::string& part, size_t count)
{
    std::string text;
    for (size_t index = 0; index < count; ++index)
        text += part;
    return text;
}

} // namespace

TEST_GROUP(Json) {};

TEST(Json, ATextThatIsNestedTooDeepIsNotDecoded)
{
    struct row {
        std::string text;
        bool isDecoded;
    };
    const row rows[] = {
        { "{}", true },
        { repeated("[", maxJsonDepth) + repeated("]", maxJsonDepth), true },
        { repeated("[", maxJsonDepth + 1) + repeated("]", maxJsonDepth + 1), false },
        { repeated("{\"a\":", 1000000) + "1" + repeated("}", 1000000), false },
        { repeated("[", 1000000), false },
        { "[" + repeated("[],", 1000) + "[]]", true },
        { "\"" + repeated("[", 1000) + "\"", true },
        { "\"\\\"" + repeated("[", 1000) + "\"", true },
        { "\"\\\\\"" + repeated("[", 1000), false },
        { repeated("]", 10) + repeated("[", 1000), false },
        { "1e400", false },
        { "\"\xff\"", false },
        { "", false },
    };
    for (const row& item : rows)
        CHECK_EQUAL_TEXT(item.isDecoded, !parseJson(item.text).is_discarded(), item.text.substr(0, 20).c_str());
}

TEST(Json, MembersOfAnotherTypeOrOutOfRangeNeitherThrowNorOverflow)
{
    struct row {
        const char* value;
        uint32_t small;
        int64_t large;
        int64_t duration;
    };
    const int64_t year = maxDecodedDuration.count();
    constexpr auto most = std::numeric_limits<int64_t>::max();
    constexpr auto least = std::numeric_limits<int64_t>::min();
    const row rows[] = {
        { "7", 7, 7, 7 },
        { "7.9", 7, 7, 7 },
        { "-1", 0, -1, -1 },
        { "4294967296", 4294967295, 4294967296, 4294967296 },
        { "9223372036854775807", 4294967295, most, year },
        { "18446744073709551615", 4294967295, most, year },
        { "18446744073709551616", 4294967295, most, year },
        { "-9223372036854775808", 0, least, -year },
        { "1e300", 4294967295, most, year },
        { "-1e300", 0, least, -year },
        { "\"7\"", 3, 3, 0 },
        { "null", 3, 3, 0 },
        { "[7]", 3, 3, 0 },
        { "{}", 3, 3, 0 },
    };
    for (const row& item : rows) {
        const nlohmann::json object = parseJson(std::string("{\"a\":") + item.value + "}");
        CHECK_EQUAL_TEXT(item.small, integerMember<uint32_t>(object, "a", 3), item.value);
        CHECK_EQUAL_TEXT(item.large, integerMember<int64_t>(object, "a", 3), item.value);
        CHECK_EQUAL_TEXT(item.duration, durationMember(object, "a").count(), item.value);
    }
    for (const char* text : { "7", "[]", "null", "", "\"a\"" }) {
        CHECK(textMember(parseJson(text), "a").empty());
        CHECK(!flagMember(parseJson(text), "a"));
    }
}

TEST(Json, OnlyAnIpNumberWithAPortInRangeIsAnAddress)
{
    struct row {
        std::string text;
        int port; ///< Zero: no address.
    };
    const row rows[] = {
        { "10.1.0.14:8221", 8221 },
        { "::1:65535", 65535 },
        { "10.1.0.14:65536", 0 },
        { "10.1.0.14:0", 0 },
        { "10.1.0.14:-1", 0 },
        { "10.1.0.14:18446744073709551616", 0 },
        { "10.1.0.14:80 ", 0 },
        { "10.1.0.14", 0 },
        { "10.1.0.14:", 0 },
        { "10.1.0.256:80", 0 },
        { "host.example:80", 0 },
        { "*:80", 0 },
        { ":80", 0 },
        { "", 0 },
        { std::string("10.1.0.14\0:80", 13), 0 },
    };
    for (const row& item : rows)
        CHECK_EQUAL_TEXT(item.port, parseAddress(item.text).value_or(listener_address {}).port, item.text.c_str());
}
