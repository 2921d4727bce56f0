#include "EndpointLimits/WarmUps.h"

#include "EndpointLimits/TokenBucket.h"

#include <algorithm>

namespace EndpointLimits {

namespace {

    /// A token granted in one second may be used at its end, together with the tokens of the next second.
    constexpr double secondsOfTokensInOne = 2;

} // namespace

double coldTokenRate(const cold_bound& bound)
{
    if (bound.perSecond <= 0 || bound.overshoot <= 0)
        return 0;
    const double mostInOneSecond = bound.perSecond * bound.overshoot + bound.slack;
    // The owner and the node ranked next each keep a full bucket besides.
    const double withoutBuckets = mostInOneSecond - 2 * minBucketCapacity;
    const double rate = withoutBuckets / (secondsOfTokensInOne * (ownerShare + backupShare));
    return std::clamp(rate, minPerSecond, std::max(minPerSecond, bound.perSecond));
}

void recordWarmUp(warm_up_map& warmUps, const endpoint_start& start, milliseconds left, double perSecond, Common::instant now)
{
    const auto known = warmUps.find(start);
    if (known == warmUps.end()) {
        if (left.count() > 0 && perSecond > 0)
            warmUps.emplace(start, warm_up { left, perSecond, now + left });
        return;
    }
    known->second.perSecond = perSecond;
    if (known->second.statedLeft == left)
        return;
    known->second.statedLeft = left;
    known->second.end = now + left;
}

void assumeCold(warm_up_map& warmUps, const endpoint_start& start, milliseconds time, double perSecond, Common::instant now)
{
    if (perSecond <= 0)
        return;
    warm_up& item = warmUps[start];
    item.perSecond = perSecond;
    item.end = std::max(item.end, now + time);
}

double findColdRate(const warm_up_map& warmUps, const endpoint_start& start, Common::instant now)
{
    const auto known = warmUps.find(start);
    return known != warmUps.end() && now < known->second.end ? known->second.perSecond : 0;
}

} // namespace EndpointLimits
