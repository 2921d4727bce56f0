#pragma once

/// @file
/// Structured logs: one JSON object per line on standard output, each with an event name. A separate thread writes the
/// lines, so logging never blocks on output. Lines per event and second are limited; the next line has the dropped count.

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

/// Most lines written per second for one event name; further ones are dropped and counted.
constexpr uint32_t maxLinesPerEventAndSecond = 200;

/// Starts logging, or changes the node name and the level of a running logger.
/// @param node the node name written in each line.
/// @param minimumLevel lines below this level are dropped.
void startLogging(std::string_view node, log_level minimumLevel);

/// Queues one line; may be called from any thread. Before startLogging() it does nothing.
/// @param level severity of the line.
/// @param event a snake_case name that log queries can rely on.
/// @param fields further members of the JSON object; must not contain a secret.
void logEvent(log_level level, std::string_view event, nlohmann::json fields = nlohmann::json::object());

/// Writes all queued lines; to be called before the process ends.
void flushLogs();

/// @return wall-clock milliseconds since the Unix epoch, for records and log lines.
int64_t wallClockMilliseconds();

} // namespace Common
