#include "Control/UsageKeeper.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace Control {

namespace {

    /// After the end of a window its counts are written within this time.
    constexpr milliseconds lastCountDelay { 400 };
    constexpr milliseconds retryPause { 300 };
    /// Windows that are kept after their end.
    constexpr int64_t keptWindows = 4;

    void perform(usage_keeper& keeper, const read_counts& step)
    {
        control_context& context = keeper.context;
        context.call(context.settings.calls.rows(context.storeAddress(), step.rows), [&keeper, window = step.window](const Store::rows_answer& answer) {
            takeCounts(keeper.reporter, window, answer, Common::bootClockNow());
        });
    }

    void perform(usage_keeper& keeper, const record_report& step)
    {
        keeper.context.commit(step.transaction, [&keeper, window = step.window](const Store::rows_answer& answer) {
            takeRecorded(keeper.reporter, window, answer, Common::bootClockNow());
        });
    }

    void takeUsageAnswer(usage_keeper& keeper, const send_report& step, const Http::transfer_answer& answer)
    {
        const Scaling::order_outcome outcome = keeper.context.settings.calls.dutyAnswer(answer);
        const bool isDone = outcome == Scaling::order_outcome::Done;
        uint64_t sum = 0;
        for (const auto& [account, count] : step.counts)
            sum += count;
        Common::logEvent(Common::log_level::Info, "usage_reported", { { "window", step.window.value }, { "requests", sum }, { "status", answer.status }, { "done", isDone } });
        // A report is refused for nothing but a newer token.
        if (outcome == Scaling::order_outcome::Fenced || outcome == Scaling::order_outcome::NoneAvailable)
            Lease::raiseFence(keeper.context.lease, Common::bootClockNow());
        takeSent(keeper.reporter, step.window, isDone, Common::bootClockNow());
    }

    void perform(usage_keeper& keeper, const send_report& step)
    {
        control_context& context = keeper.context;
        context.client.start(context.settings.calls.usage(context.settings.facts.cloud.address, context.giver(), step.window, step.counts),
            [&keeper, step](const Http::transfer_answer& answer) { takeUsageAnswer(keeper, step, answer); });
    }

    void perform(usage_keeper& keeper, const forget_rows& step)
    {
        keeper.context.commit(step.transaction, [&keeper, step](const Store::rows_answer& answer) {
            takeForgotten(keeper.reporter, step, answer);
        });
    }

} // namespace

void countBegun(usage_keeper& keeper, Common::instant now)
{
    const auto trueNow = keeper.context.trueTime(now);
    if (!trueNow)
        return;
    const auto steadyNow = std::chrono::steady_clock::now();
    for (const Usage::begun_request& item : keeper.unplaced) {
        const auto ago = std::chrono::duration_cast<milliseconds>(steadyNow - item.at);
        Usage::countBegun(keeper.counter, item.account, { trueNow->value - ago.count() });
    }
    keeper.unplaced.clear();
}

void writeCounts(usage_keeper& keeper, Common::instant now)
{
    const auto trueNow = keeper.context.trueTime(now);
    if (keeper.isWriting || !trueNow || !keeper.context.settings.facts.cloud.wantsUsage)
        return;
    const Usage::window_number currentWindow = Usage::windowOf(*trueNow, keeper.counter.windowLength);
    Usage::forgetBefore(keeper.counter, { currentWindow.value - keptWindows });
    const Fleet::node_entry& self = keeper.context.settings.self;
    const milliseconds interval = paceFor(keeper.context.nodes.size(), keeper.context.settings.facts.bounds).countInterval;
    // One node's part of a window is small where there are so many that each writes it once.
    const bool writesUnfinished = interval < keeper.counter.windowLength && now >= keeper.nextWrite;
    Store::transaction write;
    std::map<Usage::window_number, Usage::account_counts> written;
    for (const Usage::window_number window : Usage::unwrittenWindows(keeper.counter)) {
        const bool isOver = trueNow->value > Usage::endOf(window, keeper.counter.windowLength).value + lastCountDelay.count();
        if (!isOver && !writesUnfinished)
            continue;
        written[window] = keeper.counter.windows[window];
        write.writes.push_back({ countRow(window, self.node, self.incarnation), Usage::encodeCounts(keeper.counter.windows[window]) });
    }
    if (write.writes.empty())
        return;
    keeper.isWriting = true;
    keeper.nextWrite = now + interval;
    keeper.context.commit(write, [&keeper, written](const Store::rows_answer& answer) {
        keeper.isWriting = false;
        if (answer.outcome != Store::call_outcome::Done) {
            keeper.nextWrite = Common::bootClockNow() + retryPause;
            return;
        }
        for (const auto& [window, counts] : written)
            Usage::noteWritten(keeper.counter, window, counts);
    });
}

void reportUsage(usage_keeper& keeper, Common::instant now)
{
    const auto trueNow = keeper.context.trueTime(now);
    if (!trueNow || !keeper.context.settings.facts.cloud.wantsUsage)
        return;
    const auto step = nextStep(keeper.reporter, *trueNow, now);
    if (step)
        std::visit([&keeper](const auto& item) { perform(keeper, item); }, *step);
}

} // namespace Control
