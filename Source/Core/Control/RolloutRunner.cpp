#include "Control/RolloutRunner.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace Control {

namespace {

    constexpr milliseconds tickInterval { 200 };
    constexpr uint32_t allRequests = 1000; ///< Thousandths.

    void perform(rollout_runner& runner, const Rollout::publish_shares& action)
    {
        for (const auto& [version, share] : action.shares) {
            Common::logEvent(Common::log_level::Info, "version_share", { { "service", action.service }, { "version", version.value }, { "thousandths", share } });
            runner.outlets.sendToGateway(Gateway::version_share_update { { action.service }, version, share });
        }
        // No shares: the rollout is complete, and the new version receives all requests.
        const auto ended = runner.tracker.rollouts.find({ action.service });
        if (action.shares.empty() && ended != runner.tracker.rollouts.end())
            runner.outlets.sendToGateway(Gateway::version_share_update { { action.service }, ended->second.order.to, allRequests });
    }

    nlohmann::json latencyFields(const Rollout::latency_counts& counts)
    {
        return { { "answered", counts.answered }, { "unanswered", counts.unanswered }, { "waiting", counts.waiting } };
    }

    void perform(rollout_runner& runner, const Rollout::broadcast_evidence& action)
    {
        for (const auto& [work, counts] : action.counts)
            Common::logEvent(Common::log_level::Info, "version_evidence", { { "service", action.key.service }, { "version", action.key.version.value }, { "class", work.value }, { "new", latencyFields(counts.candidate.latencies) }, { "old", latencyFields(counts.previous.latencies) } });
        runner.outlets.broadcastEvidence(action);
    }

    void perform(rollout_runner& runner, const Rollout::broadcast_latch& action)
    {
        Common::logEvent(Common::log_level::Warning, "version_latched", { { "service", action.key.service }, { "version", action.key.version.value }, { "cause", action.cause } });
        runner.outlets.broadcastLatch(action);
    }

    void perform(rollout_runner& runner, const Rollout::propose_end& action) { recordProposal(runner.tracker, action); }

    void handleReported(rollout_runner& runner, const tracked_rollout& report, const Store::rows_answer& answer)
    {
        perform(runner, recordReported(runner.tracker, report, answer.outcome == Store::call_outcome::Done, Common::bootClockNow()));
    }

} // namespace

void perform(rollout_runner& runner, const rollout_actions& actions)
{
    for (const Rollout::rollout_action& action : actions)
        std::visit([&runner](const auto& item) { perform(runner, item); }, action);
}

void tickRollouts(rollout_runner& runner, Common::instant now)
{
    if (!isActive(runner.tracker) || now < runner.nextTick)
        return;
    runner.nextTick = now + tickInterval;
    perform(runner, evaluate(runner.tracker, Rollout::rollout_tick {}, now));
}

void readStatusRows(rollout_runner& runner, const std::map<std::string, Store::row>& rows)
{
    for (const auto& [service, rollout] : std::map(runner.tracker.rollouts)) {
        for (const auto& [key, row] : rows) {
            const auto status = runner.context.settings.calls.readRolloutStatus(row, rollout.order);
            // A row older than the order belongs to an earlier rollout to the same version.
            if (status && key.ends_with("/" + service.value) && row.version > rollout.orderVersion)
                perform(runner, applyReportedStatus(runner.tracker, service, *status, Common::bootClockNow()));
        }
    }
}

void reportRollouts(rollout_runner& runner)
{
    const auto report = nextReport(runner.tracker);
    if (!report)
        return;
    control_context& context = runner.context;
    Store::transaction write;
    write.writes.push_back(context.settings.calls.rolloutStatus(report->order, *report->proposed));
    Common::logEvent(Common::log_level::Info, "rollout_reported", { { "service", report->order.service.value }, { "version", report->order.to.value }, { "status", static_cast<int>(*report->proposed) } });
    context.commit(write, [&runner, report](const Store::rows_answer& answer) { handleReported(runner, *report, answer); });
}

} // namespace Control
