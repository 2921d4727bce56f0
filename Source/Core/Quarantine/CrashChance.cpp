#include "Quarantine/CrashChance.h"

#include <algorithm>
#include <cmath>

namespace Quarantine {

namespace {

    using seconds = std::chrono::duration<double>;

    /// @return crashes per second of an endpoint of the service, without those under the fingerprint and explained ones.
    double rateOfOthers(const crash_history& history, const Common::service_name& service, const crash_map& crashes, Common::instant now)
    {
        Common::instant oldest = now - minRateTime;
        size_t others = 0;
        for (const auto& [start, crash] : history.crashes) {
            if (crash.service != service || crash.isExplained || crashes.contains(start))
                continue;
            oldest = std::min(oldest, crash.at);
            ++others;
        }
        const auto listed = history.endpoints.find(service);
        const size_t endpoints = listed == history.endpoints.end() ? 1 : std::max<size_t>(1, listed->second);
        return static_cast<double>(others) / (static_cast<double>(endpoints) * seconds(now - oldest).count());
    }

} // namespace

void addKnownCrash(crash_history& history, const endpoint_start& start, const known_crash& crash)
{
    if (history.crashes.size() < maxKnownCrashes)
        history.crashes.try_emplace(start, crash);
}

void forgetOldCrashes(crash_history& history, Common::instant now)
{
    std::erase_if(history.crashes, [now](const auto& entry) { return now - entry.second.at > crashMemory; });
}

double chanceOf(const crash_history& history, const Common::service_name& service, const crash_map& crashes, Common::instant now)
{
    milliseconds exposure { 0 };
    for (const auto& [start, crash] : crashes)
        exposure += crash.exposure;
    return poissonTail(crashes.size(), rateOfOthers(history, service, crashes, now) * seconds(exposure).count());
}

double poissonTail(size_t count, double expected)
{
    double term = std::exp(-expected);
    double below = 0;
    for (size_t number = 0; number < count; ++number) {
        below += term;
        term *= expected / static_cast<double>(number + 1);
    }
    return std::max(0.0, 1 - below);
}

} // namespace Quarantine
