#pragma once

/// @file
/// Structured logs: one JSON object a line on standard output, with a typed event name. A thread of its own writes them;
/// who logs never waits. Each kind of line has a bound a second, and what is left out is counted in the next line.

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Common {

enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Lines of one kind that are written in one second.
constexpr uint32_t linesPerKindAndSecond = 200;

/// Starts logging, or changes the name and the level.
/// @param node the name that each line carries.
/// @param lowest lines below this level are dropped.
void startLogging(std::string_view node, log_level lowest);

/// Writes one line.
/// @param level its severity.
/// @param event a stable snake_case name.
/// @param fields further members of the object; must hold no secret.
void logEvent(log_level level, std::string_view event, nlohmann::json fields = nlohmann::json::object());

/// Writes what still waits; to be called before the process ends.
void flushLogs();

/// @return milliseconds since the epoch, for records and log lines.
int64_t wallClockMilliseconds();

} // namespace Common
