#include "EndpointLimits/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace EndpointLimits {

namespace {

    double toSeconds(Common::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    void refill(token_bucket& bucket, double perSecond, Common::instant now)
    {
        const double capacity = std::max(minBucketCapacity, perSecond * toSeconds(bucketTime));
        const double gained = perSecond * std::max(0.0, toSeconds(now - bucket.refilledAt));
        bucket.level = std::min(capacity, bucket.level + gained);
        bucket.refilledAt = now;
    }

    uint64_t sumWanted(const token_bucket& bucket)
    {
        uint64_t sum = 0;
        for (const auto& [node, item] : bucket.askers)
            sum += item.wanted;
        return sum;
    }

    /// @param share of the demand, of the node that asks.
    /// @return the time in which a token becomes due to the node.
    milliseconds askAgainTime(const token_bucket& bucket, double perSecond, double share)
    {
        const double dueMs = 1000 / std::max(perSecond * share, 1000.0 / static_cast<double>(maxAskInterval.count()));
        const auto nodes = static_cast<int64_t>(bucket.askers.size());
        const auto byNodes = std::chrono::duration_cast<milliseconds>(askIntervalPerNodeSquared * nodes * nodes);
        return std::max(askInterval, std::min(milliseconds(static_cast<int64_t>(dueMs)), byNodes));
    }

} // namespace

token_decision grantTokens(token_bucket& bucket, double perSecond, const Common::node_id& node, uint32_t wanted, Common::instant now)
{
    refill(bucket, perSecond, now);
    std::erase_if(bucket.askers, [now](const auto& entry) { return now - entry.second.askedAt > askerMemory; });
    bucket.askers[node] = { now, wanted };
    const double share = wanted / static_cast<double>(std::max<uint64_t>(1, sumWanted(bucket)));
    token_decision decision;
    decision.askAgainIn = askAgainTime(bucket, perSecond, share);
    if (bucket.level < 1 || wanted == 0)
        return decision;
    const double due = perSecond * share * toSeconds(decision.askAgainIn);
    decision.count = std::min({ wanted, static_cast<uint32_t>(bucket.level), static_cast<uint32_t>(std::max(1.0, std::ceil(due))) });
    bucket.level -= decision.count;
    return decision;
}

} // namespace EndpointLimits
