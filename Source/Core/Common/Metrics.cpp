#include "Common/Metrics.h"

#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

namespace Common {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<double, 3> reportedQuantiles { 0.5, 0.95, 0.99 };

    using sample_set = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

    struct metric_registry {
        std::mutex mutex;
        std::map<std::string, double, std::less<>> values;
        std::map<std::string, std::unique_ptr<sample_set>, std::less<>> samples;
    };

    metric_registry& registry()
    {
        static metric_registry instance;
        return instance;
    }

    double& valueOf(std::string_view name)
    {
        auto found = registry().values.find(name);
        if (found == registry().values.end())
            found = registry().values.emplace(std::string(name), 0.0).first;
        return found->second;
    }

} // namespace

void countMetric(std::string_view name, uint64_t amount)
{
    const std::lock_guard guard(registry().mutex);
    valueOf(name) += static_cast<double>(amount);
}

void setMetric(std::string_view name, double value)
{
    const std::lock_guard guard(registry().mutex);
    valueOf(name) = value;
}

void observeMetric(std::string_view name, double seconds)
{
    const std::lock_guard guard(registry().mutex);
    auto found = registry().samples.find(name);
    if (found == registry().samples.end()) {
        auto samples = std::make_unique<sample_set>(acc::extended_p_square_probabilities = reportedQuantiles);
        found = registry().samples.emplace(std::string(name), std::move(samples)).first;
    }
    (*found->second)(seconds);
}

void recordProcessMetrics()
{
    constexpr double microsecondsPerSecond = 1e6;
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const double seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / microsecondsPerSecond;
    setMetric("process_cpu_seconds_total", seconds);
    std::FILE* file = std::fopen("/proc/self/statm", "r");
    if (!file)
        return;
    unsigned long total = 0;
    unsigned long resident = 0;
    const int fields = std::fscanf(file, "%lu %lu", &total, &resident);
    std::fclose(file);
    if (fields == 2)
        setMetric("process_resident_memory_bytes", static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)));
}

std::string printMetrics()
{
    const std::lock_guard guard(registry().mutex);
    std::string page;
    for (const auto& [name, value] : registry().values)
        page += fmt::format("{} {}\n", name, value);
    for (const auto& [name, samples] : registry().samples) {
        std::ptrdiff_t index = 0;
        for (const double probability : reportedQuantiles) {
            const double estimate = acc::extended_p_square(*samples)[index++];
            page += fmt::format("{}{{quantile=\"{}\"}} {:.6f}\n", name, probability, estimate);
        }
        page += fmt::format("{}_sum {:.6f}\n{}_count {}\n", name, acc::sum(*samples), name, acc::count(*samples));
    }
    return page;
}

} // namespace Common
