#include "Control/RolloutKeeper.h"

namespace Control {

namespace {

    /// A version that turns bad late must still have got less than the allowed share in all, so the share stays below
    /// it until the version takes over.
    constexpr double usedShare = 0.85;
    constexpr double firstShare = 0.4;
    constexpr double secondShare = 0.7;
    constexpr double thousand = 1000;
    constexpr uint64_t firstNeeded = 10;
    constexpr uint64_t secondNeeded = 20;
    constexpr uint64_t lastNeeded = 40;
    constexpr double takeOverTimeShare = 0.8;
    constexpr double endTimeShare = 0.93;
    constexpr int64_t evidenceIntervalMs = 300;
    constexpr int64_t proposalIntervalMs = 500;

    /// The judgement counts time in milliseconds of any steady clock.
    Common::wall_time toJudgementTime(Common::instant now)
    {
        return { std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() };
    }

    Configuration::version_state stateOf(const kept_rollout& item)
    {
        if (!item.reported || *item.reported == rollout_status::InProgress)
            return Configuration::version_state::TakingOver;
        return *item.reported == rollout_status::Completed ? Configuration::version_state::Current : Configuration::version_state::TakenBack;
    }

    keeper_actions tellVersions(rollout_keeper& keeper, Common::instant now)
    {
        auto config = std::make_shared<Configuration::configuration>();
        for (const auto& [service, item] : keeper.rollouts) {
            Configuration::endpoint_version version;
            version.service = service.value;
            version.name = item.order.to;
            version.state = stateOf(item);
            version.startedAt = toJudgementTime(item.seenAt);
            version.deadline = toJudgementTime(item.seenAt + item.order.time);
            config->versions[Configuration::versionKey(version.service, version.name)] = version;
        }
        return Rollout::stepRollout(keeper.judgement, Rollout::configuration_seen { std::move(config) }, toJudgementTime(now));
    }

    Store::row_version versionOf(const std::map<std::string, Store::row>& rows, const rollout_order& order)
    {
        for (const auto& [key, item] : rows) {
            if (key.ends_with("/" + order.service.value))
                return item.version;
        }
        return {};
    }

} // namespace

rollout_keeper makeRolloutKeeper(double exposureShare)
{
    const double share = exposureShare * usedShare * thousand;
    const auto first = static_cast<uint32_t>(share * firstShare);
    const auto second = static_cast<uint32_t>(share * secondShare);
    const auto last = static_cast<uint32_t>(share);
    rollout_keeper keeper;
    keeper.judgement.settings.stages = { { first, second, firstNeeded }, { second, last, secondNeeded }, { last, last, lastNeeded } };
    keeper.judgement.settings.takeOverTimeShare = takeOverTimeShare;
    keeper.judgement.settings.endTimeShare = endTimeShare;
    keeper.judgement.settings.evidenceIntervalMs = evidenceIntervalMs;
    keeper.judgement.settings.proposalIntervalMs = proposalIntervalMs;
    return keeper;
}

keeper_actions noteOrders(rollout_keeper& keeper, const std::vector<rollout_order>& orders, const std::map<std::string, Store::row>& operatorRows, Common::instant now)
{
    bool hasChanged = false;
    for (const rollout_order& order : orders) {
        const Store::row_version version = versionOf(operatorRows, order);
        const auto known = keeper.rollouts.find(order.service);
        if (known != keeper.rollouts.end() && known->second.orderVersion == version)
            continue;
        keeper.rollouts[order.service] = kept_rollout { order, version, now, {}, {}, false };
        hasChanged = true;
    }
    return hasChanged ? tellVersions(keeper, now) : keeper_actions {};
}

keeper_actions noteReported(rollout_keeper& keeper, const Common::service_name& service, rollout_status status, Common::instant now)
{
    const auto known = keeper.rollouts.find(service);
    if (known == keeper.rollouts.end() || known->second.reported == status)
        return {};
    known->second.reported = status;
    return tellVersions(keeper, now);
}

keeper_actions judge(rollout_keeper& keeper, Rollout::rollout_message&& message, Common::instant now)
{
    return Rollout::stepRollout(keeper.judgement, std::move(message), toJudgementTime(now));
}

void noteProposal(rollout_keeper& keeper, const Rollout::propose_end& end)
{
    const auto known = keeper.rollouts.find({ end.version.service });
    if (known == keeper.rollouts.end() || known->second.order.to != end.version.name)
        return;
    known->second.proposed = end.version.state == Configuration::version_state::Current ? rollout_status::Completed : rollout_status::Reverted;
}

std::optional<kept_rollout> nextReport(rollout_keeper& keeper)
{
    for (auto& [service, item] : keeper.rollouts) {
        const bool isEnded = item.reported && *item.reported != rollout_status::InProgress;
        if (item.isReporting || isEnded)
            continue;
        const rollout_status wanted = item.proposed.value_or(rollout_status::InProgress);
        if (item.reported == wanted)
            continue;
        item.isReporting = true;
        kept_rollout report = item;
        report.proposed = wanted;
        return report;
    }
    return {};
}

Rollout::attempt_observed toObserved(const Gateway::attempt_seen& item)
{
    Rollout::attempt_observed observed { item.service.value, item.version, { item.route.value }, Rollout::attempt_event::Begun };
    switch (item.what) {
    case Gateway::attempt_seen::event::Begun:
        observed.event = Rollout::attempt_event::Begun;
        break;
    case Gateway::attempt_seen::event::Good:
        observed.event = Rollout::attempt_event::Good;
        break;
    case Gateway::attempt_seen::event::Failed:
        observed.event = Rollout::attempt_event::Failed;
        break;
    case Gateway::attempt_seen::event::Late:
        observed.event = Rollout::attempt_event::Late;
        break;
    case Gateway::attempt_seen::event::Abandoned:
        observed.event = Rollout::attempt_event::Abandoned;
        break;
    }
    return observed;
}

bool isActive(const rollout_keeper& keeper)
{
    for (const auto& [service, item] : keeper.rollouts) {
        if (!item.reported || *item.reported == rollout_status::InProgress)
            return true;
    }
    return false;
}

} // namespace Control
