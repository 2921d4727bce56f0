#pragma once

/// @file
/// Structured logs: one JSON object a line, with a typed event name.

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

/// Starts logging to standard error.
/// @param node the name that each line carries.
/// @param lowest lines below this level are dropped.
void startLogging(std::string_view node, log_level lowest);

/// Writes one line.
/// @param level its severity.
/// @param event a stable snake_case name.
/// @param fields further members of the object; must hold no secret.
void logEvent(log_level level, std::string_view event, nlohmann::json fields = nlohmann::json::object());

/// @return milliseconds since the epoch, for records and log lines.
int64_t wallClockMilliseconds();

} // namespace Common
