#include "Rollout/Rollout.h"

#include <algorithm>

namespace Rollout {

namespace {

    using actions = std::vector<rollout_action>;

    constexpr uint64_t fewestNeeded = 8;
    /// Each stage may use this share of the time until the deadline; the rest is spare.
    constexpr double stageTimeShare = 0.18;
    /// At this share of the time a version that is not proven is taken back, in time for the deadline.
    constexpr double takeBackTimeShare = 0.95;
    constexpr uint32_t allTraffic = 1000;
    constexpr int64_t longestPlanMilliseconds = 3600000;
    constexpr uint64_t fewestUnanswered = 4;

    evidence sum(const class_evidence& counts, evidence comparison::*side)
    {
        evidence total;
        for (const auto& [work, item] : counts)
            total = total + item.*side;
        return total;
    }

    int64_t planned(const active_rollout& item)
    {
        const int64_t time = item.version.deadline.value - item.version.startedAt.value;
        return time > 0 ? time : longestPlanMilliseconds;
    }

    double timeShare(const active_rollout& item, Common::wall_time now)
    {
        return static_cast<double>(now.value - item.version.startedAt.value) / static_cast<double>(planned(item));
    }

    double attemptsPerMillisecond(const active_rollout& item, const class_evidence& pooled, Common::wall_time now)
    {
        const int64_t elapsed = std::max<int64_t>(now.value - item.version.startedAt.value, 1);
        return static_cast<double>(sum(pooled, &comparison::fresh).begun + sum(pooled, &comparison::previous).begun) / static_cast<double>(elapsed);
    }

    /// With thin traffic less evidence has to do, but never less than a few attempts.
    uint64_t needed(const rollout_settings& settings, const active_rollout& item, const class_evidence& pooled, Common::wall_time now)
    {
        const rollout_stage& stage = settings.stages[item.stage];
        const double expected = attemptsPerMillisecond(item, pooled, now) * stageTimeShare * static_cast<double>(planned(item)) * stage.mostShare / 1000;
        return std::clamp(static_cast<uint64_t>(expected / 2), fewestNeeded, stage.neededEnded);
    }

    /// The stage's share, raised within bounds when it would not bring the evidence in time.
    uint32_t chooseShare(const rollout_settings& settings, const active_rollout& item, const class_evidence& pooled, Common::wall_time now)
    {
        const rollout_stage& stage = settings.stages[item.stage];
        const double arriving = attemptsPerMillisecond(item, pooled, now) * stageTimeShare * static_cast<double>(planned(item));
        if (arriving <= 0)
            return stage.share;
        const double wanted = 1000 * static_cast<double>(needed(settings, item, pooled, now)) / (arriving / 2);
        return static_cast<uint32_t>(std::clamp(wanted, static_cast<double>(stage.share), static_cast<double>(stage.mostShare)));
    }

    /// Exposure is bounded by count: while too many attempts are unanswered no further ones are begun.
    bool isOverexposed(const rollout_state& state, const active_rollout& item)
    {
        const evidence own = sum(item.own, &comparison::fresh);
        const uint64_t unanswered = own.begun - std::min(own.begun, own.ended);
        const uint64_t allowed = std::max(fewestUnanswered, state.settings.stages[item.stage].neededEnded / std::max<size_t>(state.nodes, 1));
        return item.stage + 1 < state.settings.stages.size() && unanswered >= allowed;
    }

    void publish(rollout_state& state, const rollout_key& key, uint32_t share, actions& output)
    {
        version_shares& shares = state.published[key.service];
        const auto found = shares.find(key.version);
        if (found != shares.end() && found->second == share)
            return;
        shares[key.version] = share;
        output.push_back(publish_shares { key.service, state.current[key.service], shares });
    }

    std::string describe(const class_evidence& pooled)
    {
        const evidence fresh = sum(pooled, &comparison::fresh);
        const evidence previous = sum(pooled, &comparison::previous);
        return "new " + std::to_string(fresh.failed) + " failed, " + std::to_string(fresh.late) + " late of " + std::to_string(fresh.ended)
            + "; old " + std::to_string(previous.failed) + " failed, " + std::to_string(previous.late) + " late of " + std::to_string(previous.ended);
    }

    void latch(rollout_state& state, const rollout_key& key, const std::string& cause, actions& output)
    {
        if (!state.latched.emplace(key, cause).second)
            return;
        const auto found = state.active.find(key);
        if (found != state.active.end()) {
            found->second.isLatched = true;
            found->second.cause = cause;
        }
        publish(state, key, 0, output);
        output.push_back(tell_latch { key, cause });
    }

    void propose(const rollout_settings& settings, active_rollout& item, Configuration::version_state end, const std::string& cause, Common::wall_time now, actions& output)
    {
        if (now < item.nextProposal)
            return;
        item.nextProposal = { now.value + settings.proposalIntervalMs };
        Configuration::endpoint_version version = item.version;
        version.state = end;
        version.cause = cause;
        output.push_back(propose_end { std::move(version), cause });
    }

    void judgeAll(rollout_state& state, const rollout_key& key, const class_evidence& pooled, actions& output)
    {
        for (const auto& [work, counts] : pooled) {
            const verdict found = judge(counts);
            if (found == verdict::NoFault)
                continue;
            latch(state, key, nameOf(found) + " on " + work.value + ": " + describe({ { work, counts } }), output);
            return;
        }
    }

    void advance(const rollout_settings& settings, active_rollout& item, const class_evidence& pooled, Common::wall_time now)
    {
        if (item.stage + 1 >= settings.stages.size())
            return;
        if (sum(pooled, &comparison::fresh).ended < needed(settings, item, pooled, now))
            return;
        item.stage += 1;
    }

    bool isProven(const rollout_settings& settings, const active_rollout& item, const class_evidence& pooled, Common::wall_time now)
    {
        return item.stage + 1 == settings.stages.size() && sum(pooled, &comparison::fresh).ended >= needed(settings, item, pooled, now);
    }

    void takeOver(rollout_state& state, const rollout_key& key, active_rollout& item, const class_evidence& pooled, Common::wall_time now, actions& output)
    {
        const bool movesAllFirst = state.settings.endTimeShare > 0;
        if (!movesAllFirst || timeShare(item, now) >= state.settings.endTimeShare)
            propose(state.settings, item, Configuration::version_state::Current, "proven: " + describe(pooled), now, output);
        publish(state, key, movesAllFirst ? allTraffic : chooseShare(state.settings, item, pooled, now), output);
    }

    void tickRollout(rollout_state& state, const rollout_key& key, active_rollout& item, Common::wall_time now, actions& output)
    {
        const class_evidence pooled = poolEvidence(item);
        if (!item.isLatched)
            judgeAll(state, key, pooled, output);
        if (item.isLatched) {
            propose(state.settings, item, Configuration::version_state::TakenBack, item.cause, now, output);
            return;
        }
        advance(state.settings, item, pooled, now);
        const double elapsed = timeShare(item, now);
        if (isProven(state.settings, item, pooled, now) && elapsed >= state.settings.takeOverTimeShare)
            return takeOver(state, key, item, pooled, now, output);
        if (elapsed >= takeBackTimeShare)
            propose(state.settings, item, Configuration::version_state::TakenBack, "not proven in time: " + describe(pooled), now, output);
        publish(state, key, isOverexposed(state, item) ? 0 : chooseShare(state.settings, item, pooled, now), output);
    }

    void begin(rollout_state& state, const rollout_key& key, const Configuration::endpoint_version& version, actions& output)
    {
        if (state.active.contains(key))
            return;
        active_rollout item;
        item.version = version;
        const auto known = state.latched.find(key);
        if (known != state.latched.end()) {
            item.isLatched = true;
            item.cause = known->second;
        }
        state.active.emplace(key, std::move(item));
        publish(state, key, known != state.latched.end() ? 0 : state.settings.stages.front().share, output);
    }

    void handle(rollout_state& state, configuration_seen&& message, Common::wall_time, actions& output)
    {
        std::map<std::string, version_shares> shares;
        std::map<std::string, Common::version_name> current;
        std::vector<std::pair<rollout_key, Configuration::endpoint_version>> running;
        for (const auto& [name, version] : message.config->versions) {
            const rollout_key key { version.service, version.name };
            if (version.state == Configuration::version_state::TakingOver)
                running.emplace_back(key, version);
            if (version.state == Configuration::version_state::TakenBack)
                shares[version.service][version.name] = 0;
            if (version.state == Configuration::version_state::Current)
                current[version.service] = version.name;
        }
        std::erase_if(state.active, [&](const auto& entry) {
            return std::none_of(running.begin(), running.end(), [&](const auto& item) { return item.first == entry.first; });
        });
        for (const auto& [service, known] : state.published) {
            for (const auto& [key, item] : state.active) {
                if (key.service == service && known.contains(key.version))
                    shares[service][key.version] = known.at(key.version);
            }
            shares.try_emplace(service);
        }
        for (const auto& [service, name] : current)
            shares.try_emplace(service);
        for (const auto& [service, wanted] : shares) {
            if (state.published[service] == wanted && state.current[service] == current[service])
                continue;
            state.current[service] = current[service];
            state.published[service] = wanted;
            output.push_back(publish_shares { service, state.current[service], wanted });
        }
        for (const auto& [key, version] : running)
            begin(state, key, version, output);
    }

    void count(evidence& counts, attempt_event event)
    {
        if (event == attempt_event::Begun) {
            ++counts.begun;
            return;
        }
        if (event == attempt_event::Abandoned) {
            counts.begun -= counts.begun > counts.ended ? 1 : 0;
            return;
        }
        ++counts.ended;
        counts.failed += event == attempt_event::Failed ? 1 : 0;
        counts.late += event == attempt_event::Late ? 1 : 0;
    }

    void handle(rollout_state& state, attempt_observed&& message, Common::wall_time, actions& output)
    {
        for (auto& [key, item] : state.active) {
            if (key.service != message.service || item.isLatched)
                continue;
            comparison& counts = item.own[message.work];
            const bool isFresh = key.version == message.version;
            count(isFresh ? counts.fresh : counts.previous, message.event);
            if (!isFresh)
                continue;
            if (isOverexposed(state, item))
                publish(state, key, 0, output);
            // A bad event is looked at when it happens, not at the next tick.
            if (message.event == attempt_event::Failed || message.event == attempt_event::Late)
                judgeAll(state, key, poolEvidence(item), output);
        }
    }

    void handle(rollout_state& state, peer_evidence&& message, Common::wall_time, actions& output)
    {
        const auto found = state.active.find(message.key);
        if (found == state.active.end() || found->second.isLatched)
            return;
        found->second.peers[message.node] = std::move(message.counts);
        judgeAll(state, message.key, poolEvidence(found->second), output);
    }

    void handle(rollout_state& state, peer_latch&& message, Common::wall_time, actions& output)
    {
        latch(state, message.key, message.cause, output);
    }

    void handle(rollout_state& state, nodes_counted&& message, Common::wall_time, actions&)
    {
        state.nodes = message.nodes;
    }

    void handle(rollout_state& state, rollout_tick&&, Common::wall_time now, actions& output)
    {
        const bool isTelling = now >= state.nextEvidence;
        if (isTelling)
            state.nextEvidence = { now.value + state.settings.evidenceIntervalMs };
        for (auto& [key, item] : state.active) {
            tickRollout(state, key, item, now, output);
            if (isTelling && !item.own.empty())
                output.push_back(tell_evidence { key, item.own });
            // A node that joins later has to learn of the latch as well.
            if (isTelling && item.isLatched)
                output.push_back(tell_latch { key, item.cause });
        }
    }

} // namespace

class_evidence poolEvidence(const active_rollout& item)
{
    class_evidence pooled = item.own;
    for (const auto& [node, counts] : item.peers) {
        for (const auto& [work, compared] : counts) {
            pooled[work].fresh = pooled[work].fresh + compared.fresh;
            pooled[work].previous = pooled[work].previous + compared.previous;
        }
    }
    return pooled;
}

std::vector<rollout_action> stepRollout(rollout_state& state, rollout_message&& message, Common::wall_time now)
{
    actions output;
    std::visit([&](auto& item) { handle(state, std::move(item), now, output); }, message);
    return output;
}

} // namespace Rollout
