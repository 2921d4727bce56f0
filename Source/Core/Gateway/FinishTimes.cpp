#include "Gateway/FinishTimes.h"

#include <algorithm>

namespace Gateway {

namespace {

    constexpr double longerRate = 0.3;
    constexpr double shorterRate = 0.03;
    /// With fewer output tokens the time for each can't be told apart from the other delays.
    constexpr uint32_t minTokensForRate = 16;

    void update(double& estimate, double observed)
    {
        estimate += (observed - estimate) * (observed > estimate ? longerRate : shorterRate);
    }

    uint32_t outputTokens(const Scheduling::model_request& model)
    {
        return model.expectedOutputTokens.value_or(model.maxOutputTokens);
    }

} // namespace

void recordFinish(finish_time_map& times, const Common::route_name& route, const std::optional<Scheduling::model_request>& model, double firstEventMs, double totalMs)
{
    finish_time& known = times[route];
    if (!model)
        return update(known.plainMs, totalMs);
    if (outputTokens(*model) < minTokensForRate)
        return update(known.firstEventMs, totalMs);
    update(known.firstEventMs, firstEventMs);
    update(known.msPerOutputToken, (totalMs - firstEventMs) / outputTokens(*model));
}

double expectFinishMs(const finish_time_map& times, const Common::route_name& route, const std::optional<Scheduling::model_request>& model, double predictedFirstEventMs)
{
    const auto found = times.find(route);
    const finish_time known = found == times.end() ? finish_time {} : found->second;
    if (!model)
        return std::max(known.plainMs, predictedFirstEventMs);
    return std::max(known.firstEventMs, predictedFirstEventMs) + outputTokens(*model) * known.msPerOutputToken;
}

} // namespace Gateway
