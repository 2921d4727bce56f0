/// @file
/// Selection of the log lines that explain a request, and parsing of log lines.

#include "Filbertreel/ExplainLog.h"

#include <CppUTest/TestHarness.h>
#include <sstream>

namespace {

using namespace Filbertreel;

std::vector<log_line> parseAll(const std::vector<std::string>& texts)
{
    std::vector<log_line> lines;
    for (const std::string& text : texts)
        lines.push_back(parseLogLine(text));
    return lines;
}

} // namespace

TEST_GROUP(ExplainLog) {};

TEST(ExplainLog, LinesOfTheRequestItsNodeAndItsEndpointsAreSelectedInOrderOfTime)
{
    const auto lines = parseAll({
        R"(  17.4 n1 {"event":"request_ended","node":"n1","time_ms":9000,"request":"r1","endpoint":"e2","outcome":"broken"})",
        R"({"event":"attempt_repeated","node":"n1","time_ms":8000,"request":"r1","endpoint":"e1"})",
        R"({"event":"endpoint_changed","node":"n1","time_ms":7900,"endpoint":"e1","change":"disappeared"})",
        R"({"event":"endpoint_changed","node":"n1","time_ms":7900,"endpoint":"e9","change":"appeared"})",
        R"({"event":"store_lost","node":"n1","time_ms":6000,"table":"op"})",
        R"({"event":"store_lost","node":"n2","time_ms":6000,"table":"op"})",
        R"({"event":"store_lost","node":"n1","time_ms":1000,"table":"op"})",
        R"({"event":"store_regained","node":"n1","time_ms":9500,"table":"op"})",
        R"({"event":"request_ended","node":"n1","time_ms":8500,"request":"r2"})",
    });
    const auto selected = selectLines(lines, "r1");
    const char* events[] = { "store_lost", "endpoint_changed", "attempt_repeated", "request_ended" };
    CHECK_EQUAL(4, selected.size());
    for (size_t index = 0; index < selected.size(); ++index)
        STRCMP_EQUAL(events[index], selected[index].event.c_str());
    CHECK(selectLines(lines, "unknown").empty());
}

TEST(ExplainLog, TextWithoutAnEventIsIgnored)
{
    for (const char* text : { "", "plain text", "{broken", "{}", "[1]" })
        CHECK(parseLogLine(text).event.empty());
    std::ostringstream output;
    CHECK(explainLog("r1", { "/nonexistent" }, output) != 0);
}
