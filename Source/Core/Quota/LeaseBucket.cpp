#include "Quota/LeaseBucket.h"

#include <algorithm>

namespace Quota {

namespace {

    constexpr milliseconds shortestRetryAfter { 250 };
    constexpr milliseconds longestRetryAfter { 5000 };
    constexpr double minSavedSeconds = 0.25;
    /// Requests above this don't let an account without a burst save for them; they overdraw the bucket.
    constexpr double maxSavedNeed = 40000;
    /// Part of the level that one node may lease ahead of its need.
    constexpr double maxLeasedAhead = 0.25;
    /// A lease not renewed for this time counts as used up, until its holder says more.
    constexpr milliseconds holderMemory { leaseLife + milliseconds(200) };

    double capacityOf(const lease_bucket& bucket, const granting_part& part)
    {
        return std::max(savedTokens(part.allowed) * part.share, bucket.largestNeed);
    }

    double outstanding(const lease_bucket& bucket, Common::instant now)
    {
        double sum = 0;
        for (const auto& [node, holder] : bucket.holders) {
            if (now - holder.askedAt < holderMemory)
                sum += holder.ahead;
        }
        return sum;
    }

    /// Takes back what is left of a node's lease, or deducts what the node used beyond it.
    lease_holder* settle(lease_bucket& bucket, const Common::node_id& node, const lease_ask& ask, Common::instant now)
    {
        lease_holder& holder = bucket.holders[node];
        // The clock that incarnations are taken from may have been set back before a restart.
        const bool isOlder = ask.incarnation < holder.incarnation && now - holder.askedAt < holderMemory;
        if (isOlder || (ask.incarnation == holder.incarnation && ask.sequence <= holder.sequence))
            return nullptr;
        if (holder.incarnation != ask.incarnation)
            holder = { ask.incarnation, 0, ask.settled, 0, now };
        bucket.level += std::max(holder.credited, ask.settled) - ask.used;
        holder.sequence = ask.sequence;
        holder.credited = ask.used;
        holder.ahead = 0;
        holder.askedAt = now;
        return &holder;
    }

    milliseconds refillDelay(const lease_bucket& bucket, const granting_part& part, double amount)
    {
        const double missing = std::max(0.0, amount - bucket.level);
        const double perSecond = std::max(1e-6, part.allowed.perSecond * part.share);
        const double wait = std::min(1000 * missing / perSecond, static_cast<double>(longestRetryAfter.count()));
        return std::max(shortestRetryAfter, milliseconds(static_cast<int64_t>(wait)));
    }

} // namespace

double savedTokens(const Catalog::allowance& allowed)
{
    return std::max(allowed.burst, allowed.perSecond * minSavedSeconds);
}

void refill(lease_bucket& bucket, const granting_part& part, Common::instant now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - bucket.refilledAt).count());
    bucket.refilledAt = std::max(now, bucket.refilledAt);
    const double room = capacityOf(bucket, part) - outstanding(bucket, now);
    bucket.level = std::min(bucket.level + part.allowed.perSecond * part.share * seconds, std::max(0.0, room));
}

std::optional<lease_answer> answerAsk(lease_bucket& bucket, const granting_part& part, const Common::node_id& node, const lease_ask& ask, Common::instant now)
{
    bucket.largestNeed = std::max(bucket.largestNeed, std::min(ask.need, maxSavedNeed));
    lease_holder* holder = settle(bucket, node, ask, now);
    if (!holder)
        return {};
    refill(bucket, part, now);
    const double threshold = std::min(ask.need, capacityOf(bucket, part));
    const bool isLimited = bucket.level < threshold || bucket.level < 0;
    if (!isLimited) {
        const double given = std::min(ask.wanted, std::max(ask.need, bucket.level * maxLeasedAhead));
        bucket.level -= given;
        holder->credited += given;
        holder->ahead = std::max(0.0, given - ask.waiting);
    }
    const milliseconds retryAfter = isLimited ? refillDelay(bucket, part, threshold) : milliseconds(0);
    return lease_answer { ask.account, ask.incarnation, ask.sequence, holder->credited, bucket.level, isLimited, retryAfter };
}

} // namespace Quota
