#pragma once

/// @file
/// Selects the log lines of one request, and those about the state of its node at that time, from the nodes' logs.

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace Filbertreel {

/// One parsed line of a node's log.
struct log_line {
    int64_t timeMs { 0 }; ///< Unix time.
    std::string node;
    std::string event; ///< Empty when the line holds no log event.
    nlohmann::json fields; ///< The whole JSON object, including time, node and event.
};

/// @param text a line of a log; text before the first `{` is ignored.
/// @return the parsed line; its event is empty when the text holds no JSON object or the object has no event.
log_line parseLogLine(std::string_view text);

/// @param lines log lines of all nodes, in any order.
/// @param request id of the request.
/// @return by time, the lines with the request's id, and those about changes in the state of its nodes and endpoints
/// from shortly before its first line to its last.
std::vector<log_line> selectLines(const std::vector<log_line>& lines, const std::string& request);

/// @return the line as text for people: time in ms, node, event, then the other fields as name=value.
std::string describeLine(const log_line& line);

/// Reads logs and prints the lines that explain a request.
/// @param request id of the request.
/// @param paths log files; "-" is the standard input.
/// @param output receives the lines and the error messages.
/// @return the program's exit code: exitRefused when no line has the request's id, exitBadUsage when a file can't be opened.
int explainLog(const std::string& request, const std::vector<std::string>& paths, std::ostream& output);

} // namespace Filbertreel
