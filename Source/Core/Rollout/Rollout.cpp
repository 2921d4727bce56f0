#include "Rollout/Rollout.h"

#include <algorithm>

namespace Rollout {

namespace {

    using actions = std::vector<rollout_action>;

    /// Lower bound of the required attempts when traffic is low.
    constexpr uint64_t minRequiredEnded = 8;
    /// Share of the planned time that each stage may use; what the stages leave is reserve before the deadline.
    constexpr double stageTimeShare = 0.18;
    /// Share of the planned time after which an unproven version is taken back, so that this is recorded before the
    /// deadline.
    constexpr double takeBackTimeShare = 0.95;
    constexpr uint32_t allTraffic = 1000; ///< Thousandths.
    /// Thousandths; the previous version keeps enough attempts to be compared with.
    constexpr double maxRaisedShare = 500;
    /// Planned time of a rollout whose deadline is not after its start.
    constexpr int64_t fallbackPlanMilliseconds = 3600000;
    /// Every node sends its evidence to every other one, so in a large fleet it does so less often. The upper bound keeps the
    /// evaluation within a part of a short rollout.
    constexpr int64_t nodesPerIntervalMultiple = 20;
    constexpr int64_t maxIntervalMultiple = 5;
    /// Lower bound of a node's limit of unanswered attempts at the new version.
    constexpr uint64_t minUnansweredLimit = 4;
    /// Share of the planned time, and time without another version, after which the only version that is left takes over.
    /// Endpoints that crashed come back after some seconds, and their version may be the better one.
    constexpr double loneEndTimeShare = 0.93;
    constexpr int64_t minLoneMilliseconds = 8000;

    attempt_counts sum(const class_evidence& counts, attempt_counts comparison::*side)
    {
        attempt_counts total;
        for (const auto& [work, compared] : counts)
            total = total + compared.*side;
        return total;
    }

    int64_t plannedMilliseconds(const active_rollout& rollout)
    {
        const int64_t time = rollout.version.deadline.value - rollout.version.startedAt.value;
        return time > 0 ? time : fallbackPlanMilliseconds;
    }

    double timeShare(const active_rollout& rollout, Common::wall_time now)
    {
        return static_cast<double>(now.value - rollout.version.startedAt.value) / static_cast<double>(plannedMilliseconds(rollout));
    }

    double attemptsPerMillisecond(const active_rollout& rollout, const class_evidence& pooled, Common::wall_time now)
    {
        const int64_t elapsed = std::max<int64_t>(now.value - rollout.version.startedAt.value, 1);
        return static_cast<double>(sum(pooled, &comparison::candidate).begun + sum(pooled, &comparison::previous).begun) / static_cast<double>(elapsed);
    }

    /// @return how many attempts at the new version must have ended to pass this stage: fewer when the traffic is too low to
    /// bring the stage's number in time, but at least minRequiredEnded.
    uint64_t requiredAttempts(const rollout_settings& settings, const active_rollout& rollout, const class_evidence& pooled, Common::wall_time now)
    {
        const rollout_stage& stage = settings.stages[rollout.stage];
        const double expected = attemptsPerMillisecond(rollout, pooled, now) * stageTimeShare * static_cast<double>(plannedMilliseconds(rollout)) * stage.maxShare / 1000;
        return std::clamp(static_cast<uint64_t>(expected / 2), minRequiredEnded, stage.requiredEnded);
    }

    /// @return the stage's share in thousandths, raised up to its maximum when it would not yield the required attempts
    /// in time.
    uint32_t chooseShare(const rollout_state& state, const active_rollout& rollout, const class_evidence& pooled, Common::wall_time now)
    {
        const rollout_settings& settings = state.settings;
        const rollout_stage& stage = settings.stages[rollout.stage];
        const double stageAttempts = attemptsPerMillisecond(rollout, pooled, now) * stageTimeShare * static_cast<double>(plannedMilliseconds(rollout));
        if (stageAttempts <= 0)
            return stage.share;
        // Nodes that have not been heard yet are assumed to have as many requests as the others.
        const double nodesHeard = static_cast<double>(rollout.peers.size() + 1);
        const double planAttempts = stageAttempts / stageTimeShare * std::max(1.0, static_cast<double>(state.nodes) / nodesHeard);
        const double maxShare = std::min(maxRaisedShare, stage.maxShare + allTraffic * settings.additionalAttempts / planAttempts);
        const double wanted = allTraffic * static_cast<double>(requiredAttempts(settings, rollout, pooled, now)) / (stageAttempts / 2);
        return static_cast<uint32_t>(std::clamp(wanted, static_cast<double>(stage.share), std::max<double>(stage.share, maxShare)));
    }

    /// Limits exposure by count: while too many attempts at the new version are unanswered, it gets no further ones.
    bool isOverexposed(const rollout_state& state, const active_rollout& rollout)
    {
        const attempt_counts own = sum(rollout.own.counts, &comparison::candidate);
        const uint64_t unanswered = own.begun - std::min(own.begun, own.ended);
        const uint64_t allowed = std::max(minUnansweredLimit, state.settings.stages[rollout.stage].requiredEnded / std::max<size_t>(state.nodes, 1));
        return rollout.stage + 1 < state.settings.stages.size() && unanswered >= allowed;
    }

    bool hasReadyEndpoint(const rollout_state& state, const rollout_key& key)
    {
        if (!state.ready)
            return true;
        const auto versions = state.ready->find(key.service);
        return versions != state.ready->end() && versions->second.contains(key.version);
    }

    /// @return whether an endpoint of another version is ready: something to compare with and to go back to.
    bool hasOtherVersion(const rollout_state& state, const rollout_key& key)
    {
        if (!state.ready)
            return true;
        const auto versions = state.ready->find(key.service);
        return versions != state.ready->end() && versions->second.size() > (versions->second.contains(key.version) ? 1 : 0);
    }

    void updateAlone(const rollout_state& state, const rollout_key& key, active_rollout& rollout, Common::wall_time now)
    {
        if (hasOtherVersion(state, key) || !hasReadyEndpoint(state, key))
            rollout.aloneSince.reset();
        else if (!rollout.aloneSince)
            rollout.aloneSince = now;
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
        const attempt_counts candidate = sum(pooled, &comparison::candidate);
        const attempt_counts previous = sum(pooled, &comparison::previous);
        return "new " + std::to_string(candidate.failed) + " failed, " + std::to_string(candidate.late) + " late of " + std::to_string(candidate.ended)
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
        output.push_back(broadcast_latch { key, cause });
    }

    void propose(const rollout_state& state, active_rollout& rollout, Configuration::version_state end, const std::string& cause, Common::wall_time now, actions& output)
    {
        const rollout_key key { rollout.version.service, rollout.version.name };
        if (now < rollout.nextProposal || !mayEnd(state, key, end))
            return;
        rollout.nextProposal = { now.value + state.settings.proposalIntervalMs };
        Configuration::endpoint_version version = rollout.version;
        version.state = end;
        version.cause = cause;
        output.push_back(propose_end { std::move(version), cause });
    }

    /// A version that is alone isn't judged: nothing ran at the same time that it could be worse than.
    void evaluateClasses(rollout_state& state, const rollout_key& key, const class_evidence& pooled, actions& output)
    {
        if (!hasOtherVersion(state, key))
            return;
        for (const auto& [work, counts] : pooled) {
            const verdict found = evaluate(counts);
            if (found == verdict::NoFault)
                continue;
            latch(state, key, nameOf(found) + " on " + work.value + ": " + describe({ { work, counts } }), output);
            return;
        }
    }

    /// Compares all classes together, the whole time and the time since the version was last shown to be as quick: it may
    /// become slower later.
    void evaluateLatencies(rollout_state& state, const rollout_key& key, active_rollout& rollout, const class_evidence& pooled, actions& output)
    {
        const attempt_counts candidate = sum(pooled, &comparison::candidate);
        const latency_counts previous = sum(pooled, &comparison::previous).latencies;
        const latency_counts recent = since(candidate.latencies, rollout.shownQuick);
        const bool isSlowerNow = evaluateLatencies(recent, previous) == verdict::Slower;
        if (isSlowerNow || evaluateLatencies(candidate.latencies, previous) == verdict::Slower)
            return latch(state, key, nameOf(verdict::Slower) + ": " + describe(pooled), output);
        if (isShownToBeAsQuick(recent, previous)) {
            rollout.shownQuick = candidate.latencies;
            rollout.shownQuickBegun = candidate.begun;
        }
        rollout.isPaused = candidate.begun >= rollout.shownQuickBegun + state.settings.maxUnshownAttempts;
    }

    /// Compares each class: a version may be slower on one only.
    void evaluateLatenciesByClass(rollout_state& state, const rollout_key& key, const class_evidence& pooled, actions& output)
    {
        for (const auto& [work, counts] : pooled) {
            const verdict found = evaluateLatencies(counts.candidate.latencies, counts.previous.latencies);
            if (found != verdict::NoFault)
                return latch(state, key, nameOf(found) + " on " + work.value + ": " + describe({ { work, counts } }), output);
        }
    }

    void advance(const rollout_settings& settings, active_rollout& rollout, const class_evidence& pooled, Common::wall_time now)
    {
        if (rollout.stage + 1 >= settings.stages.size())
            return;
        if (sum(pooled, &comparison::candidate).ended < requiredAttempts(settings, rollout, pooled, now))
            return;
        rollout.stage += 1;
    }

    bool isProven(const rollout_settings& settings, const active_rollout& rollout, const class_evidence& pooled, Common::wall_time now)
    {
        const attempt_counts candidate = sum(pooled, &comparison::candidate);
        if (rollout.stage + 1 < settings.stages.size() || candidate.ended < requiredAttempts(settings, rollout, pooled, now))
            return false;
        return !settings.comparesLatencies || isShownToBeAsQuick(candidate.latencies, sum(pooled, &comparison::previous).latencies);
    }

    void takeOver(rollout_state& state, const rollout_key& key, active_rollout& rollout, const class_evidence& pooled, Common::wall_time now, actions& output)
    {
        const bool movesAllFirst = state.settings.endTimeShare > 0;
        if (!movesAllFirst || timeShare(rollout, now) >= state.settings.endTimeShare)
            propose(state, rollout, Configuration::version_state::Current, "proven: " + describe(pooled), now, output);
        if (!movesAllFirst)
            return publish(state, key, chooseShare(state, rollout, pooled, now), output);
        const bool isRamp = timeShare(rollout, now) < state.settings.takeOverTimeShare + state.settings.rampTimeShare;
        publish(state, key, isRamp ? state.settings.rampShare : allTraffic, output);
    }

    /// Takes over for want of any other version. One that was found bad stays undecided: taken back, it would leave nothing to
    /// serve requests, and others may return.
    void tickLoneRollout(const rollout_state& state, active_rollout& rollout, Common::wall_time now, actions& output)
    {
        const bool isAloneForLong = rollout.aloneSince && now.value - rollout.aloneSince->value >= minLoneMilliseconds;
        if (isAloneForLong && !rollout.isLatched && timeShare(rollout, now) >= loneEndTimeShare)
            propose(state, rollout, Configuration::version_state::Current, "no endpoint of another version is left", now, output);
    }

    void tickRollout(rollout_state& state, const rollout_key& key, active_rollout& rollout, Common::wall_time now, actions& output)
    {
        if (!hasOtherVersion(state, key))
            return tickLoneRollout(state, rollout, now, output);
        const class_evidence pooled = poolEvidence(rollout);
        if (!rollout.isLatched)
            evaluateClasses(state, key, pooled, output);
        if (!rollout.isLatched && state.settings.comparesLatencies) {
            evaluateLatenciesByClass(state, key, pooled, output);
            evaluateLatencies(state, key, rollout, pooled, output);
        }
        if (rollout.isLatched) {
            propose(state, rollout, Configuration::version_state::RolledBack, rollout.cause, now, output);
            return;
        }
        advance(state.settings, rollout, pooled, now);
        const double elapsed = timeShare(rollout, now);
        if (isProven(state.settings, rollout, pooled, now) && elapsed >= state.settings.takeOverTimeShare)
            return takeOver(state, key, rollout, pooled, now, output);
        if (elapsed >= takeBackTimeShare)
            propose(state, rollout, Configuration::version_state::RolledBack, "not proven in time: " + describe(pooled), now, output);
        publish(state, key, rollout.isPaused || isOverexposed(state, rollout) ? 0 : chooseShare(state, rollout, pooled, now), output);
    }

    void begin(rollout_state& state, const rollout_key& key, const Configuration::endpoint_version& version, Common::wall_time now, actions& output)
    {
        if (state.active.contains(key))
            return;
        active_rollout rollout;
        rollout.version = version;
        const auto known = state.latched.find(key);
        if (known != state.latched.end()) {
            rollout.isLatched = true;
            rollout.cause = known->second;
        }
        updateAlone(state, key, rollout, now);
        state.active.emplace(key, std::move(rollout));
        publish(state, key, known != state.latched.end() ? 0 : state.settings.stages.front().share, output);
    }

    void handle(rollout_state& state, configuration_changed&& message, Common::wall_time now, actions& output)
    {
        std::map<std::string, version_shares> shares;
        std::map<std::string, Common::version_name> current;
        std::vector<std::pair<rollout_key, Configuration::endpoint_version>> running;
        for (const auto& [name, version] : message.config->versions) {
            const rollout_key key { version.service, version.name };
            if (version.state == Configuration::version_state::TakingOver)
                running.emplace_back(key, version);
            if (version.state == Configuration::version_state::RolledBack)
                shares[version.service][version.name] = 0;
            if (version.state == Configuration::version_state::Current)
                current[version.service] = version.name;
        }
        std::erase_if(state.active, [&](const auto& entry) {
            return std::none_of(running.begin(), running.end(), [&](const auto& item) { return item.first == entry.first; });
        });
        for (const auto& [service, known] : state.published) {
            for (const auto& [key, rollout] : state.active) {
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
            begin(state, key, version, now, output);
    }

    void handle(rollout_state& state, attempt_observed&& message, Common::wall_time now, actions& output)
    {
        for (auto& [key, rollout] : state.active) {
            if (key.service != message.service || rollout.isLatched)
                continue;
            const bool isCandidate = key.version == message.version;
            countAttempt(rollout.own, message, isCandidate, now);
            if (!isCandidate)
                continue;
            if (isOverexposed(state, rollout))
                publish(state, key, 0, output);
            // Bad events are evaluated at once, because more attempts would fail before the next tick.
            if (message.event == attempt_event::Failed || message.event == attempt_event::Late)
                evaluateClasses(state, key, poolEvidence(rollout), output);
        }
    }

    void handle(rollout_state& state, peer_evidence&& message, Common::wall_time, actions& output)
    {
        const auto found = state.active.find(message.key);
        if (found == state.active.end() || found->second.isLatched)
            return;
        found->second.peers[message.node] = std::move(message.counts);
        evaluateClasses(state, message.key, poolEvidence(found->second), output);
    }

    void handle(rollout_state& state, peer_latch&& message, Common::wall_time, actions& output)
    {
        // The sender has not seen the end of the rollout. Endpoints of other versions are gone, so there is nothing to go
        // back to.
        const auto current = state.current.find(message.key.service);
        if (current != state.current.end() && current->second == message.key.version && !state.active.contains(message.key))
            return;
        latch(state, message.key, message.cause, output);
    }

    void handle(rollout_state& state, node_count_changed&& message, Common::wall_time, actions&)
    {
        state.nodes = message.nodes;
    }

    void handle(rollout_state& state, ready_versions_changed&& message, Common::wall_time now, actions&)
    {
        state.ready = std::move(message.ready);
        for (auto& [key, rollout] : state.active)
            updateAlone(state, key, rollout, now);
    }

    int64_t evidenceInterval(const rollout_state& state)
    {
        const auto multiple = static_cast<int64_t>(state.nodes) / nodesPerIntervalMultiple;
        return state.settings.evidenceIntervalMs * std::clamp<int64_t>(multiple, 1, maxIntervalMultiple);
    }

    void handle(rollout_state& state, rollout_tick&&, Common::wall_time now, actions& output)
    {
        const bool isBroadcastDue = now >= state.nextEvidence;
        if (isBroadcastDue)
            state.nextEvidence = { now.value + evidenceInterval(state) };
        for (auto& [key, rollout] : state.active) {
            countWaiting(rollout.own, now);
            tickRollout(state, key, rollout, now, output);
            if (isBroadcastDue && !rollout.own.counts.empty())
                output.push_back(broadcast_evidence { key, rollout.own.counts });
            // Repeated at each interval, because nodes that join later need the latch as well.
            if (isBroadcastDue && rollout.isLatched)
                output.push_back(broadcast_latch { key, rollout.cause });
        }
    }

} // namespace

bool mayEnd(const rollout_state& state, const rollout_key& key, Configuration::version_state end)
{
    return end == Configuration::version_state::Current ? hasReadyEndpoint(state, key) : hasOtherVersion(state, key);
}

class_evidence poolEvidence(const active_rollout& rollout)
{
    class_evidence pooled = rollout.own.counts;
    for (const auto& [node, counts] : rollout.peers) {
        for (const auto& [work, compared] : counts) {
            pooled[work].candidate = pooled[work].candidate + compared.candidate;
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
