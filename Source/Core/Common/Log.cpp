#include "Common/Log.h"

#include <chrono>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

namespace Common {

namespace {

    std::string loggedNode;

    log4cplus::Logger& rootLogger()
    {
        static log4cplus::Logger logger = log4cplus::Logger::getRoot();
        return logger;
    }

    log4cplus::LogLevel toLibraryLevel(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case log_level::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case log_level::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case log_level::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    std::string_view nameOf(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return "debug";
        case log_level::Info:
            return "info";
        case log_level::Warning:
            return "warning";
        case log_level::Error:
            return "error";
        }
        return "info";
    }

    /// Prints the message alone: logEvent has already built the JSON object.
    class json_line_layout final : public log4cplus::Layout {
    public:
        void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override
        {
            output << event.getMessage() << '\n';
        }
    };

} // namespace

void startLogging(std::string_view node, log_level lowest)
{
    static log4cplus::Initializer initializer;
    loggedNode = node;
    constexpr bool toStandardError = true;
    constexpr bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    appender->setLayout(std::make_unique<json_line_layout>());
    rootLogger().removeAllAppenders();
    rootLogger().addAppender(appender);
    rootLogger().setLogLevel(toLibraryLevel(lowest));
}

void logEvent(log_level level, std::string_view event, nlohmann::json fields)
{
    const log4cplus::LogLevel libraryLevel = toLibraryLevel(level);
    if (loggedNode.empty() || !rootLogger().isEnabledFor(libraryLevel))
        return;
    fields["time_ms"] = wallClockMilliseconds();
    fields["level"] = nameOf(level);
    fields["event"] = event;
    fields["node"] = loggedNode;
    rootLogger().log(libraryLevel, fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

int64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Common
