#include "Endpoints/Sharding.h"

#include "Common/Hash.h"

namespace Endpoints {

namespace {

    Common::node_id chooseAmong(const std::vector<poller>& pollers, const std::optional<Common::region_name>& region, const Common::endpoint_id& endpoint)
    {
        Common::node_id best;
        uint64_t bestScore = 0;
        for (const poller& node : pollers) {
            if (region && node.region != *region)
                continue;
            const uint64_t score = Common::rendezvousScore(endpoint.value, node.id.value);
            if (best.value.empty() || score > bestScore) {
                best = node.id;
                bestScore = score;
            }
        }
        return best;
    }

} // namespace

bool isInSubset(const Common::node_id& node, const Common::endpoint_id& endpoint, size_t endpointsInRegion)
{
    if (endpointsInRegion <= subsetSize)
        return true;
    constexpr double hashRange = 18446744073709551616.0;
    const double share = static_cast<double>(subsetSize) / static_cast<double>(endpointsInRegion);
    return static_cast<double>(Common::rendezvousScore(endpoint.value, node.value)) < share * hashRange;
}

std::chrono::milliseconds stretchInterval(std::chrono::milliseconds interval, size_t count, size_t perInterval)
{
    if (count <= perInterval)
        return interval;
    return interval * static_cast<int64_t>(count) / static_cast<int64_t>(perInterval);
}

Common::node_id choosePoller(const std::vector<poller>& pollers, const std::optional<Common::region_name>& region, const Common::endpoint_id& endpoint)
{
    const Common::node_id inRegion = chooseAmong(pollers, region, endpoint);
    return inRegion.value.empty() ? chooseAmong(pollers, std::nullopt, endpoint) : inRegion;
}

} // namespace Endpoints
