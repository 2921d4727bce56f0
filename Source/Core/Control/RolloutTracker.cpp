#include "Control/RolloutTracker.h"

#include <algorithm>
#include <utility>

namespace Control {

namespace {

    /// Factor on the exposure share. A version that turns bad late must still have received less than the exposure
    /// share in total, so its share of requests stays below it until the version takes over.
    constexpr double exposureFactor = 0.85;
    constexpr double firstStageFactor = 0.4;
    constexpr double secondStageFactor = 0.7;
    /// Factor on the exposure slack; the rest is for attempts sent before the nodes know the newest evidence.
    constexpr double slackFactor = 0.5;
    constexpr double thousandthsPerUnit = 1000;
    constexpr uint64_t firstStageAttempts = 10;
    constexpr uint64_t secondStageAttempts = 20;
    constexpr uint64_t lastStageAttempts = 40;
    constexpr double takeOverTimeShare = 0.8;
    constexpr double endTimeShare = 0.93;
    constexpr int64_t evidenceIntervalMs = 300;
    constexpr int64_t proposalIntervalMs = 500;

    /// The evaluation takes time in milliseconds of any steady clock.
    Common::wall_time toEvaluationTime(Common::instant now)
    {
        return { std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() };
    }

    Configuration::version_state stateOf(const tracked_rollout& rollout)
    {
        if (rollout.isReturn)
            return Configuration::version_state::Current;
        if (!rollout.reported || *rollout.reported == rollout_status::InProgress)
            return Configuration::version_state::TakingOver;
        return *rollout.reported == rollout_status::Completed ? Configuration::version_state::Current : Configuration::version_state::RolledBack;
    }

    rollout_actions evaluateVersions(rollout_tracker& tracker, Common::instant now)
    {
        auto config = std::make_shared<Configuration::configuration>();
        for (const auto& [service, rollout] : tracker.rollouts) {
            Configuration::endpoint_version version;
            version.service = service.value;
            version.name = rollout.order.to;
            version.state = stateOf(rollout);
            version.startedAt = toEvaluationTime(rollout.seenAt);
            version.deadline = toEvaluationTime(rollout.seenAt + rollout.order.time);
            config->versions[Configuration::versionKey(version.service, version.name)] = version;
        }
        for (const auto& [service, versions] : tracker.abandoned) {
            for (const Common::version_name& name : versions) {
                Configuration::endpoint_version version;
                version.service = service.value;
                version.name = name;
                version.state = Configuration::version_state::RolledBack;
                config->versions[Configuration::versionKey(version.service, version.name)] = version;
            }
        }
        return Rollout::stepRollout(tracker.evaluation, Rollout::configuration_changed { std::move(config) }, toEvaluationTime(now));
    }

    bool isSameOrder(const rollout_order& left, const rollout_order& right)
    {
        return left.to == right.to && left.time == right.time;
    }

    bool isEnded(const tracked_rollout& rollout)
    {
        return rollout.reported && *rollout.reported != rollout_status::InProgress;
    }

    /// @return the status to report. A proposal that was made while other endpoints were there may no longer be carried out.
    rollout_status wantedStatus(const rollout_tracker& tracker, const tracked_rollout& rollout)
    {
        if (isEnded(rollout))
            return *rollout.reported;
        if (!rollout.proposed)
            return rollout_status::InProgress;
        const auto end = *rollout.proposed == rollout_status::Completed ? Configuration::version_state::Current : Configuration::version_state::RolledBack;
        return Rollout::mayEnd(tracker.evaluation, { rollout.order.service.value, rollout.order.to }, end) ? *rollout.proposed : rollout_status::InProgress;
    }

    bool wasReplaced(const rollout_tracker& tracker, const seen_order& seen)
    {
        const auto found = tracker.replaced.find(seen.order.service);
        return found != tracker.replaced.end() && std::any_of(found->second.begin(), found->second.end(), [&seen](const seen_order& item) {
            return item.version == seen.version && isSameOrder(item.order, seen.order);
        });
    }

    /// Takes the row of an order that was written again in a new era as the order's row.
    /// @return whether the order is known already, as the current one or as one that was replaced.
    bool recognize(rollout_tracker& tracker, const seen_order& seen)
    {
        const auto known = tracker.rollouts.find(seen.order.service);
        if (known == tracker.rollouts.end())
            return false;
        tracked_rollout& rollout = known->second;
        if (!rollout.isOfEarlierEra)
            return rollout.orderVersion == seen.version;
        if (!isSameOrder(rollout.order, seen.order))
            return wasReplaced(tracker, seen);
        rollout.orderVersion = seen.version;
        rollout.isOfEarlierEra = false;
        return true;
    }

    /// @return the versions with ready endpoints beside the one of the order.
    std::set<Common::version_name> otherReadyVersions(const rollout_tracker& tracker, const rollout_order& order)
    {
        const auto& ready = tracker.evaluation.ready;
        if (!ready || !ready->contains(order.service.value))
            return {};
        std::set<Common::version_name> versions = ready->at(order.service.value);
        versions.erase(order.to);
        return versions;
    }

    /// @return whether this node has found the version good: it is taking over, even if the end isn't known to be reported.
    bool isTakingOver(const rollout_tracker& tracker, const tracked_rollout& rollout)
    {
        const auto shares = tracker.evaluation.published.find(rollout.order.service.value);
        if (shares == tracker.evaluation.published.end())
            return false;
        const auto share = shares->second.find(rollout.order.to);
        return share != shares->second.end() && share->second >= tracker.evaluation.settings.rampShare;
    }

    /// @return whether the rollout has ended with its version in place, as far as this node can tell: it may have missed the status.
    bool mayBeCompleted(const rollout_tracker& tracker, const tracked_rollout& rollout, Common::instant now)
    {
        if (isEnded(rollout))
            return rollout.reported == rollout_status::Completed;
        return isTakingOver(tracker, rollout) && now - rollout.seenAt >= rollout.order.time * endTimeShare;
    }

    /// Derives what an order means from the one that it replaces.
    void linkToReplaced(rollout_tracker& tracker, const tracked_rollout& replaced, tracked_rollout& rollout)
    {
        const bool isSameVersion = replaced.order.to == rollout.order.to;
        if (mayBeCompleted(tracker, replaced, rollout.seenAt)) {
            if (!isSameVersion)
                rollout.established = { replaced.order.to };
            return;
        }
        rollout.established = replaced.established;
        if (isSameVersion)
            return;
        if (replaced.reported == rollout_status::Reverted)
            tracker.reverted[rollout.order.service].insert(replaced.order.to);
        rollout.isReturn = replaced.established.contains(rollout.order.to);
        if (!rollout.isReturn && isTakingOver(tracker, replaced))
            rollout.established = { replaced.order.to };
        else if (!replaced.isReturn)
            tracker.abandoned[rollout.order.service].insert(replaced.order.to);
    }

    void startRollout(rollout_tracker& tracker, const seen_order& seen, Common::instant now)
    {
        tracked_rollout rollout;
        rollout.order = seen.order;
        rollout.orderVersion = seen.version;
        rollout.seenAt = now;
        const auto known = tracker.rollouts.find(seen.order.service);
        if (known != tracker.rollouts.end()) {
            tracker.replaced[seen.order.service].push_back({ known->second.order, known->second.orderVersion });
            linkToReplaced(tracker, known->second, rollout);
        } else {
            rollout.established = otherReadyVersions(tracker, seen.order);
        }
        tracker.abandoned[seen.order.service].erase(seen.order.to);
        tracker.rollouts[seen.order.service] = std::move(rollout);
    }

    bool isReady(const rollout_tracker& tracker, const Common::service_name& service, const Common::version_name& version)
    {
        const auto& ready = tracker.evaluation.ready;
        return !ready || (ready->contains(service.value) && ready->at(service.value).contains(version));
    }

    bool isFoundBad(const rollout_tracker& tracker, const Common::service_name& service, const Common::version_name& version)
    {
        const auto reverted = tracker.reverted.find(service);
        return (reverted != tracker.reverted.end() && reverted->second.contains(version)) || tracker.evaluation.latched.contains({ service.value, version });
    }

    /// A node that missed the end of a rollout takes its version for abandoned. Once the versions of before are gone, that one has
    /// taken their place, and a version on trial must not get its requests.
    /// @return whether a version is established now that was abandoned.
    bool reviewAbandoned(rollout_tracker& tracker)
    {
        bool hasChanged = false;
        for (auto& [service, rollout] : tracker.rollouts) {
            const auto isThere = [&tracker, &name = service](const Common::version_name& version) { return isReady(tracker, name, version); };
            if (rollout.isReturn || std::any_of(rollout.established.begin(), rollout.established.end(), isThere))
                continue;
            std::set<Common::version_name>& abandoned = tracker.abandoned[service];
            for (const Common::version_name& version : std::set(abandoned)) {
                if (!isThere(version) || isFoundBad(tracker, service, version))
                    continue;
                abandoned.erase(version);
                rollout.established.insert(version);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    /// A node that has just started may read orders before it knows any endpoint.
    void learnEstablished(rollout_tracker& tracker)
    {
        for (auto& [service, rollout] : tracker.rollouts)
            rollout.established = otherReadyVersions(tracker, rollout.order);
    }

    /// A return takes its whole time, as requests of the version that is left may still be running: its endpoints stop at the end.
    void endReturns(rollout_tracker& tracker, Common::instant now)
    {
        for (auto& [service, rollout] : tracker.rollouts) {
            if (rollout.isReturn && !isEnded(rollout) && now - rollout.seenAt >= rollout.order.time * endTimeShare)
                rollout.proposed = rollout_status::Completed;
        }
    }

    Store::row_version versionOf(const std::map<std::string, Store::row>& rows, const rollout_order& order)
    {
        for (const auto& [key, row] : rows) {
            if (key.ends_with("/" + order.service.value))
                return row.version;
        }
        return {};
    }

} // namespace

rollout_tracker makeRolloutTracker(double exposureShare, double exposureSlack)
{
    const double share = exposureShare * exposureFactor * thousandthsPerUnit;
    const auto first = static_cast<uint32_t>(share * firstStageFactor);
    const auto second = static_cast<uint32_t>(share * secondStageFactor);
    const auto last = static_cast<uint32_t>(share);
    rollout_tracker tracker;
    tracker.evaluation.settings.stages = { { first, second, firstStageAttempts }, { second, last, secondStageAttempts }, { last, last, lastStageAttempts } };
    tracker.evaluation.settings.comparesLatencies = true;
    tracker.evaluation.settings.additionalAttempts = exposureSlack * slackFactor;
    tracker.evaluation.settings.takeOverTimeShare = takeOverTimeShare;
    tracker.evaluation.settings.endTimeShare = endTimeShare;
    tracker.evaluation.settings.evidenceIntervalMs = evidenceIntervalMs;
    tracker.evaluation.settings.proposalIntervalMs = proposalIntervalMs;
    return tracker;
}

void beginEra(rollout_tracker& tracker)
{
    for (auto& [service, rollout] : tracker.rollouts) {
        rollout.isOfEarlierEra = true;
        rollout.mustReportAgain = rollout.reported.has_value();
    }
}

rollout_actions applyOrders(rollout_tracker& tracker, const std::vector<rollout_order>& orders, const std::map<std::string, Store::row>& operatorRows, Common::instant now)
{
    bool hasChanged = false;
    for (const rollout_order& order : orders) {
        const seen_order seen { order, versionOf(operatorRows, order) };
        if (recognize(tracker, seen))
            continue;
        startRollout(tracker, seen, now);
        hasChanged = true;
    }
    if (hasChanged)
        reviewAbandoned(tracker);
    return hasChanged ? evaluateVersions(tracker, now) : rollout_actions {};
}

rollout_actions applyReportedStatus(rollout_tracker& tracker, const Common::service_name& service, rollout_status status, Common::instant now)
{
    const auto known = tracker.rollouts.find(service);
    if (known == tracker.rollouts.end() || known->second.reported == status || isEnded(known->second))
        return {};
    known->second.reported = status;
    return evaluateVersions(tracker, now);
}

rollout_actions evaluate(rollout_tracker& tracker, Rollout::rollout_message&& message, Common::instant now)
{
    const bool isListing = std::holds_alternative<Rollout::ready_versions_changed>(message);
    const bool isFirstListing = isListing && !tracker.evaluation.ready;
    rollout_actions actions = Rollout::stepRollout(tracker.evaluation, std::move(message), toEvaluationTime(now));
    if (isFirstListing)
        learnEstablished(tracker);
    if (isListing && reviewAbandoned(tracker)) {
        for (Rollout::rollout_action& action : evaluateVersions(tracker, now))
            actions.push_back(std::move(action));
    }
    endReturns(tracker, now);
    return actions;
}

bool recordProposal(rollout_tracker& tracker, const Rollout::propose_end& end)
{
    const auto known = tracker.rollouts.find({ end.version.service });
    if (known == tracker.rollouts.end() || known->second.order.to != end.version.name)
        return false;
    const rollout_status proposed = end.version.state == Configuration::version_state::Current ? rollout_status::Completed : rollout_status::Reverted;
    return std::exchange(known->second.proposed, proposed) != proposed;
}

std::optional<tracked_rollout> nextReport(rollout_tracker& tracker)
{
    for (auto& [service, rollout] : tracker.rollouts) {
        if (rollout.isReporting)
            continue;
        const rollout_status wanted = wantedStatus(tracker, rollout);
        if (rollout.reported == wanted && !rollout.mustReportAgain)
            continue;
        rollout.isReporting = true;
        tracked_rollout report = rollout;
        report.proposed = wanted;
        return report;
    }
    return {};
}

rollout_actions recordReported(rollout_tracker& tracker, const tracked_rollout& report, bool isWritten, Common::instant now)
{
    const auto known = tracker.rollouts.find(report.order.service);
    // The order may have been replaced during the write.
    if (known == tracker.rollouts.end() || known->second.seenAt != report.seenAt)
        return {};
    known->second.isReporting = false;
    if (!isWritten)
        return {};
    known->second.mustReportAgain = false;
    return applyReportedStatus(tracker, report.order.service, *report.proposed, now);
}

Rollout::ready_versions_changed listReadyVersions(const Fleet::endpoint_map& endpoints, const std::set<Common::zone_name>& evacuated)
{
    Rollout::ready_versions_changed listed;
    for (const auto& [id, endpoint] : endpoints) {
        if (endpoint.phase == Fleet::endpoint_phase::Ready && !evacuated.contains(endpoint.zone))
            listed.ready[endpoint.service.value].insert(endpoint.version);
    }
    return listed;
}

Rollout::attempt_observed toObservedAttempt(const Gateway::attempt_report& attempt)
{
    Rollout::attempt_observed observed { attempt.service.value, attempt.version, { attempt.route.value }, Rollout::attempt_event::Begun, { attempt.attempt.value }, attempt.expectedMs, attempt.elapsedMs };
    switch (attempt.type) {
    case Gateway::attempt_report::event::Begun:
        observed.event = Rollout::attempt_event::Begun;
        break;
    case Gateway::attempt_report::event::FirstEvent:
        observed.event = Rollout::attempt_event::FirstEvent;
        break;
    case Gateway::attempt_report::event::OnTime:
        observed.event = Rollout::attempt_event::Succeeded;
        break;
    case Gateway::attempt_report::event::Failed:
        observed.event = Rollout::attempt_event::Failed;
        break;
    case Gateway::attempt_report::event::Late:
        observed.event = Rollout::attempt_event::Late;
        break;
    case Gateway::attempt_report::event::Abandoned:
        observed.event = Rollout::attempt_event::Abandoned;
        break;
    }
    return observed;
}

std::set<Common::service_name> activeServices(const rollout_tracker& tracker)
{
    std::set<Common::service_name> services;
    for (const auto& [service, rollout] : tracker.rollouts) {
        if (!rollout.reported || *rollout.reported == rollout_status::InProgress)
            services.insert(service);
    }
    return services;
}

bool isActive(const rollout_tracker& tracker)
{
    return !activeServices(tracker).empty();
}

} // namespace Control
