#include "Gateway/Placing.h"

namespace Gateway {

namespace {

    Scheduling::work workOf(const call& item)
    {
        Scheduling::work work;
        work.service = item.service;
        work.model = item.facts.model;
        work.arrived = item.arrived;
        work.deadline = item.deadline;
        return work;
    }

    /// During a rollout a drawn part of the requests goes to the fresh version, and no other.
    void limitVersion(gateway_state& state, const call& item, Scheduling::placement_limits& limits)
    {
        constexpr uint32_t thousandths = 1000;
        const auto known = state.versionShares.find(item.service);
        if (known == state.versionShares.end())
            return;
        const bool isDrawn = Common::uniformBelow(state.scheduler.random, thousandths) < known->second.thousandths;
        (isDrawn ? limits.onlyVersion : limits.neverVersion) = known->second.fresh;
    }

} // namespace

tl::expected<Scheduling::placement, Scheduling::refusal> choose(gateway_state& state, const call& item, Common::instant now)
{
    Scheduling::placement_limits limits;
    limits.avoided = item.tried;
    limitVersion(state, item, limits);
    auto placed = Scheduling::place(state.scheduler, workOf(item), limits, now);
    if (placed || !limits.onlyVersion)
        return placed;
    // The fresh version can't take it: that is no reason to refuse.
    limits.neverVersion = limits.onlyVersion;
    limits.onlyVersion.reset();
    return Scheduling::place(state.scheduler, workOf(item), limits, now);
}

void noteDemand(gateway_state& state, const call& item)
{
    if (item.facts.model)
        state.interval.demand.engineMs[item.service] += Scheduling::engineMs(state.scheduler, item.service, item.current->where.freshTokens, *item.facts.model);
}

} // namespace Gateway
