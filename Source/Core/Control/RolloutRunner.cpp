#include "Control/RolloutRunner.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

#include <algorithm>

namespace Control {

namespace {

    constexpr milliseconds tickInterval { 200 };
    constexpr uint32_t allRequests = 1000; ///< Thousandths.

    void perform(rollout_runner& runner, const Rollout::publish_shares& action)
    {
        Gateway::version_share_update update { { action.service }, action.shares };
        // The version of a rollout that is complete, or that the operator has ordered back to, receives all requests.
        if (!action.current.value.empty())
            update.thousandths[action.current] = allRequests;
        for (const auto& [version, share] : update.thousandths)
            Common::logEvent(Common::log_level::Info, "version_share", { { "service", action.service }, { "version", version.value }, { "thousandths", share } });
        runner.outlets.sendToGateway(std::move(update));
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

    void perform(rollout_runner& runner, const Rollout::propose_end& action)
    {
        if (recordProposal(runner.tracker, action))
            Common::logEvent(Common::log_level::Info, "rollout_end_proposed", { { "service", action.version.service }, { "version", action.version.name.value }, { "is_taken_over", action.version.state == Configuration::version_state::Current }, { "cause", action.cause } });
    }

    void endReport(rollout_runner& runner, const tracked_rollout& report, bool isWritten)
    {
        perform(runner, recordReported(runner.tracker, report, isWritten, Common::bootClockNow()));
    }

    const Store::row* findRow(const std::vector<Store::row>& rows, const Store::row_name& name)
    {
        const auto found = std::find_if(rows.begin(), rows.end(), [&name](const Store::row& row) { return row.name == name && !row.isRemoved; });
        return found == rows.end() ? nullptr : &*found;
    }

    /// @return the status that the row holds for this order; a row older than the order belongs to an earlier rollout to the
    /// same version.
    std::optional<rollout_status> statusOf(const rollout_runner& runner, const tracked_rollout& rollout, const Store::row& row)
    {
        if (row.version <= rollout.orderVersion)
            return {};
        return runner.context.settings.calls.readRolloutStatus(row, rollout.order);
    }

    void writeStatus(rollout_runner& runner, const tracked_rollout& report, const Store::row* known)
    {
        Store::transaction write;
        write.writes.push_back(runner.context.settings.calls.rolloutStatus(report.order, *report.proposed));
        write.conditions.push_back({ write.writes.front().name, known == nullptr ? Store::row_version {} : known->version });
        Common::logEvent(Common::log_level::Info, "rollout_reported", { { "service", report.order.service.value }, { "version", report.order.to.value }, { "status", static_cast<int>(*report.proposed) } });
        runner.context.commit(write, [&runner, report](const Store::rows_answer& answer) { endReport(runner, report, answer.outcome == Store::call_outcome::Done); });
    }

    /// Writes the status, unless the store holds an end of the same order.
    void handleStatusRead(rollout_runner& runner, tracked_rollout report, const Store::rows_answer& answer)
    {
        if (answer.outcome != Store::call_outcome::Done)
            return endReport(runner, report, false);
        const Store::row_name name = runner.context.settings.calls.rolloutStatus(report.order, *report.proposed).name;
        const Store::row* const known = findRow(answer.rows, name);
        const auto stored = known == nullptr ? std::nullopt : statusOf(runner, report, *known);
        if (!stored || (*stored == rollout_status::InProgress && stored != report.proposed))
            return writeStatus(runner, report, known);
        if (stored != report.proposed)
            Common::logEvent(Common::log_level::Warning, "rollout_already_ended", { { "service", report.order.service.value }, { "version", report.order.to.value }, { "status", static_cast<int>(*stored) } });
        report.proposed = stored;
        endReport(runner, report, true);
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
            const auto status = statusOf(runner, rollout, row);
            if (status && key.ends_with("/" + service.value))
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
    const Store::row_name name = context.settings.calls.rolloutStatus(report->order, *report->proposed).name;
    const Store::range query { name.table, name.part, name.key, "", 1 };
    context.call(context.settings.calls.rows(context.storeAddress(), query), [&runner, report](const Store::rows_answer& answer) { handleStatusRead(runner, *report, answer); });
}

} // namespace Control
