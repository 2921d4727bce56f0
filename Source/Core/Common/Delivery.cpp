#include "Common/Delivery.h"

#include "Common/Log.h"
#include "Common/Metrics.h"

#include <boost/core/demangle.hpp>

#include <chrono>

namespace Common {

namespace {

    constexpr std::chrono::milliseconds logInterval { 1000 };

} // namespace

void recordRejectedMessage(const std::type_info& message, std::atomic<int64_t>& nextLog)
{
    const std::string name = boost::core::demangle(message.name());
    countMetric("filbertreel_messages_dropped_total{message=\"" + name + "\"}");
    const int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    int64_t due = nextLog.load();
    if (now >= due && nextLog.compare_exchange_strong(due, now + logInterval.count()))
        logEvent(log_level::Warning, "message_dropped", { { "message", name } });
}

} // namespace Common
