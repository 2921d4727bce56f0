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

    std::string nodeName;

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

    /// Writes only the message, because logEvent() has already formatted the JSON object.
    class json_line_layout final : public log4cplus::Layout {
    public:
        void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override
        {
            output << event.getMessage() << '\n';
        }
    };

    /// Most lines that wait for the writer thread; further ones are dropped and counted.
    constexpr size_t maxQueuedLines = 8192;
    /// The writer thread collects lines for this long, so that it writes many with one call.
    constexpr std::chrono::milliseconds batchInterval { 100 };

    /// Lines of one event name in the current one-second window.
    struct event_rate {
        std::chrono::steady_clock::time_point windowStart;
        uint32_t lines { 0 };
        uint64_t dropped { 0 };
    };

    /// Passes lines to log4cplus on a separate thread.
    class line_writer {
    public:
        line_writer()
            : m_queue(maxQueuedLines)
            , m_thread([this] { run(); })
        {
        }

        ~line_writer()
        {
            {
                const std::lock_guard guard(m_mutex);
                m_isStopping = true;
            }
            m_condition.notify_one();
            m_thread.join();
        }

        line_writer(const line_writer&) = delete;
        line_writer& operator=(const line_writer&) = delete;

        /// Checks the rate limit of an event and the capacity of the queue.
        /// @param event name of the event to log.
        /// @param dropped receives the number of lines of this event dropped since its last written line.
        /// @return whether the line may be queued; if not, it is counted as dropped.
        bool admit(const std::string& event, uint64_t& dropped)
        {
            const auto now = std::chrono::steady_clock::now();
            const std::lock_guard guard(m_mutex);
            event_rate& rate = m_rates[event];
            if (now - rate.windowStart >= std::chrono::seconds(1)) {
                rate.windowStart = now;
                rate.lines = 0;
            }
            if (rate.lines >= maxLinesPerEventAndSecond || m_queue.full()) {
                ++rate.dropped;
                return false;
            }
            ++rate.lines;
            dropped = std::exchange(rate.dropped, 0);
            return true;
        }

        void push(std::string line)
        {
            const std::lock_guard guard(m_mutex);
            const bool wasEmpty = m_queue.empty();
            m_queue.push_back(std::move(line));
            if (wasEmpty)
                m_condition.notify_one();
        }

        void flush()
        {
            const std::lock_guard writeGuard(m_writeMutex);
            std::string batch;
            {
                const std::lock_guard guard(m_mutex);
                for (const std::string& line : m_queue) {
                    if (!batch.empty())
                        batch += '\n';
                    batch += line;
                }
                m_queue.clear();
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
                    m_condition.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
                    if (!m_isStopping)
                        m_condition.wait_for(lock, batchInterval, [this] { return m_isStopping; });
                }
                flush();
                const std::lock_guard guard(m_mutex);
                if (m_isStopping && m_queue.empty())
                    return;
            }
        }

        std::mutex m_mutex;
        std::mutex m_writeMutex;
        std::condition_variable m_condition;
        boost::circular_buffer<std::string> m_queue;
        std::map<std::string, event_rate> m_rates;
        bool m_isStopping { false };
        std::thread m_thread;
    };

    std::unique_ptr<line_writer> writer;
    log_level loggedLevel { log_level::Info };

} // namespace

void startLogging(std::string_view node, log_level minimumLevel)
{
    static log4cplus::Initializer initializer;
    nodeName = node;
    loggedLevel = minimumLevel;
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
    if (!writer || toLibraryLevel(level) < toLibraryLevel(loggedLevel))
        return;
    uint64_t dropped = 0;
    if (!writer->admit(std::string(event), dropped))
        return;
    if (dropped > 0)
        fields["left_out"] = dropped;
    fields["time_ms"] = wallClockMilliseconds();
    fields["level"] = nameOf(level);
    fields["event"] = event;
    fields["node"] = nodeName;
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
