#include "Common/Log.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/circular_buffer.hpp>
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

    /// Lines that wait for the writer at most; further ones are dropped and counted.
    constexpr size_t waitingLines = 8192;
    /// The writer gathers lines for so long, so that many go out in one call.
    constexpr std::chrono::milliseconds gatherTime { 100 };

    /// Lines of one kind within the present second.
    struct kind_budget {
        std::chrono::steady_clock::time_point second;
        uint32_t lines { 0 };
        uint64_t leftOut { 0 };
    };

    /// Hands lines to the library on a thread of its own.
    class line_writer {
    public:
        line_writer()
            : m_waiting(waitingLines)
            , m_thread([this] { run(); })
        {
        }

        ~line_writer()
        {
            {
                const std::lock_guard guard(m_mutex);
                m_isStopping = true;
            }
            m_awake.notify_one();
            m_thread.join();
        }

        line_writer(const line_writer&) = delete;
        line_writer& operator=(const line_writer&) = delete;

        /// @param leftOut receives how many lines of the kind were left out before this one.
        /// @return whether a line of this kind may be written now.
        bool admit(const std::string& kind, uint64_t& leftOut)
        {
            const auto now = std::chrono::steady_clock::now();
            const std::lock_guard guard(m_mutex);
            kind_budget& budget = m_budgets[kind];
            if (now - budget.second >= std::chrono::seconds(1)) {
                budget.second = now;
                budget.lines = 0;
            }
            if (budget.lines >= linesPerKindAndSecond || m_waiting.full()) {
                ++budget.leftOut;
                return false;
            }
            ++budget.lines;
            leftOut = std::exchange(budget.leftOut, 0);
            return true;
        }

        void push(std::string line)
        {
            const std::lock_guard guard(m_mutex);
            const bool wasEmpty = m_waiting.empty();
            m_waiting.push_back(std::move(line));
            if (wasEmpty)
                m_awake.notify_one();
        }

        void flush()
        {
            const std::lock_guard writing(m_writing);
            std::string batch;
            {
                const std::lock_guard guard(m_mutex);
                for (const std::string& line : m_waiting) {
                    if (!batch.empty())
                        batch += '\n';
                    batch += line;
                }
                m_waiting.clear();
            }
            if (!batch.empty())
                rootLogger().log(log4cplus::ERROR_LOG_LEVEL, batch);
        }

    private:
        void run()
        {
            while (true) {
                {
                    std::unique_lock lock(m_mutex);
                    m_awake.wait(lock, [this] { return m_isStopping || !m_waiting.empty(); });
                    if (!m_isStopping)
                        m_awake.wait_for(lock, gatherTime, [this] { return m_isStopping; });
                }
                flush();
                const std::lock_guard guard(m_mutex);
                if (m_isStopping && m_waiting.empty())
                    return;
            }
        }

        std::mutex m_mutex;
        std::mutex m_writing;
        std::condition_variable m_awake;
        boost::circular_buffer<std::string> m_waiting;
        std::map<std::string, kind_budget> m_budgets;
        bool m_isStopping { false };
        std::thread m_thread;
    };

    std::unique_ptr<line_writer> writer;
    log_level lowestLevel { log_level::Info };

} // namespace

void startLogging(std::string_view node, log_level lowest)
{
    static log4cplus::Initializer initializer;
    loggedNode = node;
    lowestLevel = lowest;
    if (writer)
        return;
    constexpr bool toStandardError = false;
    constexpr bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    appender->setLayout(std::make_unique<json_line_layout>());
    rootLogger().removeAllAppenders();
    rootLogger().addAppender(appender);
    rootLogger().setLogLevel(log4cplus::DEBUG_LOG_LEVEL);
    writer = std::make_unique<line_writer>();
}

void logEvent(log_level level, std::string_view event, nlohmann::json fields)
{
    if (!writer || toLibraryLevel(level) < toLibraryLevel(lowestLevel))
        return;
    uint64_t leftOut = 0;
    if (!writer->admit(std::string(event), leftOut))
        return;
    if (leftOut > 0)
        fields["left_out"] = leftOut;
    fields["time_ms"] = wallClockMilliseconds();
    fields["level"] = nameOf(level);
    fields["event"] = event;
    fields["node"] = loggedNode;
    writer->push(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void flushLogs()
{
    if (writer)
        writer->flush();
}

int64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Common
