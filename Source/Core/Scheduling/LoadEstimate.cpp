#include "Scheduling/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {

namespace {

    constexpr double meanRate = 0.02;
    /// A report is worth as long as the requests that it counts are in progress.
    constexpr double minLoadLifeMs = 200;
    constexpr double maxLoadLifeMs = 3000;
    /// Other work on a machine comes and goes within some hundred milliseconds.
    constexpr double paceLifeMs = 250;
    constexpr double usualPacePercent = 100;
    constexpr double minPace = 0.5;
    constexpr double maxPace = 5;
    /// Of the prompts that are being processed, half is left on average.
    constexpr double shareOfPromptLeft = 0.5;

    double ageMs(const load_report& report, Common::instant now)
    {
        return std::max(0.0, std::chrono::duration<double, std::milli>(now - report.at).count());
    }

    void updateMean(double& mean, double value)
    {
        mean = mean <= 0 ? value : mean + (value - mean) * meanRate;
    }

    double othersIn(const load_report& report)
    {
        const uint32_t total = report.load.running + report.load.waiting;
        return total > report.own ? total - report.own : 0;
    }

} // namespace

void recordReport(service_load& service, const load_report& report)
{
    service.hasSharedMachines = service.hasSharedMachines || report.load.pacePercent.has_value();
    updateMean(service.meanOthers, othersIn(report));
}

void recordServedRequest(service_load& service, double uncachedTokens, double firstEventMs, double totalMs)
{
    updateMean(service.meanUncachedTokens, uncachedTokens);
    updateMean(service.meanFirstEventMs, firstEventMs);
    updateMean(service.meanTotalMs, totalMs);
}

double estimateOthers(const service_load& service, const std::optional<load_report>& report, Common::instant now)
{
    if (!report)
        return service.meanOthers;
    const double lifeMs = std::clamp(service.meanTotalMs, minLoadLifeMs, maxLoadLifeMs);
    return service.meanOthers + (othersIn(*report) - service.meanOthers) * std::exp(-ageMs(*report, now) / lifeMs);
}

double estimatePrefillOfOthersMs(const service_load& service, double others, double msPerToken)
{
    if (service.meanTotalMs <= 0)
        return 0;
    const double shareBeforeFirstEvent = std::min(1.0, service.meanFirstEventMs / service.meanTotalMs);
    return others * shareBeforeFirstEvent * service.meanUncachedTokens * msPerToken * shareOfPromptLeft;
}

double estimatePace(const std::optional<load_report>& report, Common::instant now)
{
    if (!report || !report->load.pacePercent)
        return 1;
    const double stated = std::clamp(*report->load.pacePercent / usualPacePercent, minPace, maxPace);
    return 1 + (stated - 1) * std::exp(-ageMs(*report, now) / paceLifeMs);
}

} // namespace Scheduling
