#include "Filbertreel/ExplainLog.h"

#include "Filbertreel/Print.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include <fmt/format.h>

namespace Filbertreel {

namespace {

    using nlohmann::json;

    /// State changes of a node are shown from this long before the request's first line, as they may explain its outcome.
    constexpr int64_t lookBackMs = 5000;

    /// Events that report a change in a node's state. Changes of endpoints are shown only for endpoints of the request.
    const std::set<std::string> nodeStateEvents { "store_lost", "store_regained", "catalog_in_force", "catalog_read", "member_changed", "node_started",
        "node_leaving", "settings_reloaded", "version_share", "version_latched", "lease_lost" };

    std::string stringField(const json& fields, const char* name)
    {
        const auto found = fields.find(name);
        return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    void readLines(std::istream& input, std::vector<log_line>& lines)
    {
        std::string text;
        while (std::getline(input, text)) {
            log_line line = parseLogLine(text);
            if (!line.event.empty())
                lines.push_back(std::move(line));
        }
    }

    struct request_trace {
        std::set<std::string> nodes;
        std::set<std::string> endpoints;
        int64_t firstMs { INT64_MAX };
        int64_t lastMs { 0 };
    };

    request_trace collectTrace(const std::vector<log_line>& lines, const std::string& request)
    {
        request_trace trace;
        for (const log_line& line : lines) {
            if (stringField(line.fields, "request") != request)
                continue;
            trace.nodes.insert(line.node);
            trace.endpoints.insert(stringField(line.fields, "endpoint"));
            trace.firstMs = std::min(trace.firstMs, line.timeMs);
            trace.lastMs = std::max(trace.lastMs, line.timeMs);
        }
        return trace;
    }

    bool isContext(const log_line& line, const request_trace& trace)
    {
        if (!trace.nodes.contains(line.node) || line.timeMs > trace.lastMs || line.timeMs < trace.firstMs - lookBackMs)
            return false;
        if (line.event == "endpoint_changed")
            return trace.endpoints.contains(stringField(line.fields, "endpoint"));
        return nodeStateEvents.contains(line.event);
    }

} // namespace

log_line parseLogLine(std::string_view text)
{
    log_line line;
    const size_t start = text.find('{');
    if (start == std::string_view::npos)
        return line;
    line.fields = json::parse(text.substr(start), nullptr, false);
    if (!line.fields.is_object())
        return line;
    line.event = stringField(line.fields, "event");
    line.node = stringField(line.fields, "node");
    line.timeMs = line.fields.value("time_ms", int64_t { 0 });
    return line;
}

std::vector<log_line> selectLines(const std::vector<log_line>& lines, const std::string& request)
{
    const request_trace trace = collectTrace(lines, request);
    std::vector<log_line> selected;
    for (const log_line& line : lines) {
        if (stringField(line.fields, "request") == request || isContext(line, trace))
            selected.push_back(line);
    }
    std::stable_sort(selected.begin(), selected.end(), [](const log_line& left, const log_line& right) { return left.timeMs < right.timeMs; });
    return selected;
}

std::string describeLine(const log_line& line)
{
    std::string text = fmt::format("{} {} {}", line.timeMs, line.node, line.event);
    for (const auto& [name, value] : line.fields.items()) {
        if (name == "time_ms" || name == "node" || name == "event" || name == "level")
            continue;
        text += fmt::format(" {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

int explainLog(const std::string& request, const std::vector<std::string>& paths, std::ostream& output)
{
    std::vector<log_line> lines;
    for (const std::string& path : paths) {
        if (path == "-") {
            readLines(std::cin, lines);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            output << "can't open log file: " << path << '\n';
            return exitBadUsage;
        }
        readLines(file, lines);
    }
    const std::vector<log_line> selected = selectLines(lines, request);
    for (const log_line& line : selected)
        output << describeLine(line) << '\n';
    if (selected.empty())
        output << "no log line has the request id " << request << '\n';
    return selected.empty() ? exitRefused : exitOk;
}

} // namespace Filbertreel
