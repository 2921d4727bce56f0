#pragma once

/// @file
/// Finds what the logs of the nodes say of one request, and of what its node believed at that time.

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace Filbertreel {

/// One line of a log.
struct log_line {
    int64_t timeMs { 0 };
    std::string node;
    std::string event;
    nlohmann::json fields;
};

/// @param text a line; what stands before the JSON object is passed over.
/// @return the line; its event is empty when it holds none.
log_line parseLogLine(std::string_view text);

/// @param lines lines of all nodes, in any order.
/// @param request id of a request.
/// @return the lines of the request, and those of its node or of its endpoints shortly before it ended, by time.
std::vector<log_line> selectLines(const std::vector<log_line>& lines, const std::string& request);

/// @param line a line.
/// @return the line for a reader: time, node, event, members.
std::string describeLine(const log_line& line);

/// Reads logs and prints what they say of a request.
/// @param request its id.
/// @param paths files; "-" is the standard input.
/// @param output receives the lines.
/// @return the exit code: refused when no line names the request.
int explainLog(const std::string& request, const std::vector<std::string>& paths, std::ostream& output);

} // namespace Filbertreel
