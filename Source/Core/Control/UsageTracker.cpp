#include "Control/UsageTracker.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

#include <utility>

namespace Control {

namespace {

    /// Time after the end of a window until its final counts are written.
    constexpr milliseconds finalWriteDelay { 400 };
    constexpr milliseconds retryDelay { 300 };
    /// Between two messages with the counts of an open window to the relay, whose own interval limits the writes.
    constexpr milliseconds relayedCountInterval { 1000 };
    /// Number of windows kept after their end.
    constexpr int64_t retainedWindows = 4;

    void logGivenUp(Usage::window_number window, const char* reason)
    {
        Common::logEvent(Common::log_level::Warning, "usage_window_given_up", { { "window", window.value }, { "reason", reason } });
    }

    void perform(usage_tracker& tracker, const find_report& step)
    {
        control_context& context = tracker.context;
        context.call(context.settings.calls.rows(context.storeAddress(), step.rows), [&tracker, window = step.window](const Store::rows_answer& answer) {
            if (handleFound(tracker.reporter, window, answer, Common::bootClockNow()))
                logGivenUp(window, "may have been sent in an earlier era of the store");
        });
    }

    void perform(usage_tracker& tracker, const read_counts& step)
    {
        control_context& context = tracker.context;
        context.call(context.settings.calls.rows(context.storeAddress(), step.rows), [&tracker, window = step.window](const Store::rows_answer& answer) {
            handleCounts(tracker.reporter, window, answer, Common::bootClockNow());
        });
    }

    void perform(usage_tracker& tracker, const record_report& step)
    {
        tracker.context.commit(step.transaction, [&tracker, window = step.window](const Store::rows_answer& answer) {
            if (handleRecorded(tracker.reporter, window, answer, Common::bootClockNow()))
                logGivenUp(window, "the store holds another report");
        });
    }

    void handleUsageAnswer(usage_tracker& tracker, const send_report& step, const Http::transfer_answer& answer)
    {
        const Scaling::order_outcome outcome = tracker.context.settings.calls.dutyAnswer(answer);
        const bool isDone = outcome == Scaling::order_outcome::Done;
        uint64_t sum = 0;
        for (const auto& [account, count] : step.counts)
            sum += count;
        Common::logEvent(Common::log_level::Info, "usage_reported", { { "window", step.window.value }, { "requests", sum }, { "status", answer.status }, { "done", isDone } });
        // The cloud refuses a report only because of a newer fencing token.
        if (outcome == Scaling::order_outcome::Fenced || outcome == Scaling::order_outcome::NoneAvailable)
            Lease::requireRenewal(tracker.context.lease, Common::bootClockNow());
        handleSent(tracker.reporter, step.window, isDone, Common::bootClockNow());
    }

    void perform(usage_tracker& tracker, const send_report& step)
    {
        control_context& context = tracker.context;
        context.client.start(context.settings.calls.usage(context.settings.facts.cloud.address, context.issuer(), step.window, step.counts),
            [&tracker, step](const Http::transfer_answer& answer) { handleUsageAnswer(tracker, step, answer); });
    }

    using count_windows = std::map<Usage::window_number, Usage::account_counts>;

    /// @return the windows whose counts have to be written now: those that are over, and open ones at the interval.
    count_windows windowsToWrite(usage_tracker& tracker, Usage::true_time trueNow, milliseconds interval, Common::instant now)
    {
        const Usage::window_number currentWindow = Usage::windowOf(trueNow, tracker.counter.windowLength);
        Usage::removeBefore(tracker.counter, { currentWindow.value - retainedWindows });
        // In a large fleet each node counts only a small part of a window, so it writes each window once, after its end.
        const bool writesOpenWindows = interval < tracker.counter.windowLength && now >= tracker.nextWrite;
        count_windows due;
        for (const Usage::window_number window : Usage::unwrittenWindows(tracker.counter)) {
            const bool isOver = trueNow.value > Usage::endOf(window, tracker.counter.windowLength).value + finalWriteDelay.count();
            if (isOver || writesOpenWindows)
                due[window] = tracker.counter.windows[window];
        }
        return due;
    }

    std::vector<Store::row_write> toRows(const usage_tracker& tracker, const count_windows& windows)
    {
        const Fleet::node_entry& self = tracker.context.settings.self;
        std::vector<Store::row_write> rows;
        rows.reserve(windows.size());
        for (const auto& [window, counts] : windows)
            rows.push_back({ countRow(window, self.node, self.incarnation), Usage::encodeCounts(counts) });
        return rows;
    }

    void writeDirectly(usage_tracker& tracker, const count_windows& windows)
    {
        tracker.isWriting = true;
        tracker.context.commit({ {}, toRows(tracker, windows), {} }, [&tracker, windows](const Store::rows_answer& answer) {
            tracker.isWriting = false;
            if (answer.outcome != Store::call_outcome::Done) {
                tracker.nextWrite = Common::bootClockNow() + retryDelay;
                return;
            }
            for (const auto& [window, counts] : windows)
                Usage::markWritten(tracker.counter, window, counts);
        });
    }

    void perform(usage_tracker& tracker, const remove_rows& step)
    {
        tracker.context.commit(step.transaction, [&tracker, step](const Store::rows_answer& answer) {
            handleRemoved(tracker.reporter, step, answer);
        });
    }

} // namespace

void beginEra(usage_tracker& tracker)
{
    tracker.counter.written.clear();
    tracker.sender.sent.reset();
    tracker.nextWrite = {};
    tracker.isEraNew = true;
}

void assignRequests(usage_tracker& tracker, Common::instant now)
{
    const auto trueNow = tracker.context.trueTime(now);
    if (!trueNow)
        return;
    if (std::exchange(tracker.isEraNew, false))
        beginEra(tracker.reporter, *trueNow, now);
    const auto steadyNow = std::chrono::steady_clock::now();
    for (const Usage::begun_request& request : tracker.unassigned) {
        const auto age = std::chrono::duration_cast<milliseconds>(steadyNow - request.at);
        Usage::countRequest(tracker.counter, request.account, { trueNow->value - age.count() });
    }
    tracker.unassigned.clear();
}

std::optional<counts_message> writeCounts(usage_tracker& tracker, const std::optional<Common::node_id>& relay, Common::instant now)
{
    const auto trueNow = tracker.context.trueTime(now);
    expireUnconfirmed(tracker.sender, now);
    if (tracker.isWriting || tracker.sender.sent || !trueNow || !tracker.context.settings.facts.cloud.wantsUsage)
        return {};
    const bool usesRelay = relay && now >= tracker.sender.directUntil;
    const milliseconds interval = usesRelay ? relayedCountInterval : callIntervalsFor(tracker.context.nodes.size(), tracker.context.settings.facts.bounds).countInterval;
    const count_windows due = windowsToWrite(tracker, *trueNow, interval, now);
    if (due.empty())
        return {};
    if (!usesRelay) {
        tracker.nextWrite = now + interval;
        writeDirectly(tracker, due);
        return {};
    }
    // The nodes of a zone send at the same time, so that the relay need not wait for some of them.
    tracker.nextWrite = now + interval - milliseconds(trueNow->value % interval.count());
    tracker.sender.last = { tracker.sender.last.value + 1 };
    tracker.sender.sent = unconfirmed_counts { tracker.sender.last, now, due };
    return counts_message { *relay, { tracker.sender.last, toRows(tracker, due) } };
}

void confirmCounts(usage_tracker& tracker, count_sequence sequence)
{
    for (const auto& [window, counts] : confirm(tracker.sender, sequence))
        Usage::markWritten(tracker.counter, window, counts);
}

void reportUsage(usage_tracker& tracker, Common::instant now)
{
    const auto trueNow = tracker.context.trueTime(now);
    if (!trueNow || !tracker.context.settings.facts.cloud.wantsUsage)
        return;
    const auto step = nextStep(tracker.reporter, *trueNow, now);
    if (step)
        std::visit([&tracker](const auto& item) { perform(tracker, item); }, *step);
}

} // namespace Control
