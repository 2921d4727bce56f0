#include "Control/UsageReporter.h"

#include <algorithm>

#include <fmt/format.h>

namespace Control {

namespace {

    constexpr const char* countTable = "usage_counts";
    constexpr const char* reportTable = "usage_reports";
    /// Time after a window's end within which all nodes have written their final counts.
    constexpr milliseconds settleTime { 2600 };
    constexpr milliseconds retryDelay { 400 };
    /// Time reserved for sending: with less than this left before its due time, a window is dropped.
    constexpr milliseconds sendReserve { 300 };
    /// The store accepts 100 entries per transaction; the rest is left for the report itself.
    constexpr size_t maxRemovals = 90;

    std::string windowKey(Usage::window_number window)
    {
        return fmt::format("{:012}", window.value);
    }

    /// Allowance for the difference between the true time of two nodes.
    constexpr milliseconds trueTimeTolerance { 500 };

    /// @return whether a holder may have sent the report of the window in an earlier era of the store.
    bool mayHaveBeenSent(const usage_reporter& reporter, Usage::window_number window)
    {
        const int64_t earliestCollection = Usage::endOf(window, reporter.windowLength).value + settleTime.count();
        return reporter.eraBegan && earliestCollection <= reporter.eraBegan->value + trueTimeTolerance.count();
    }

    window_report makeReport(const usage_reporter& reporter, Usage::window_number window)
    {
        window_report report;
        const auto known = reporter.known.find(window);
        report.nextTry = reporter.collectFrom;
        if (!mayHaveBeenSent(reporter, window))
            return report;
        report.nextTry = {};
        report.stage = known == reporter.known.end() ? report_stage::Find : report_stage::Record;
        if (known != reporter.known.end())
            report.counts = known->second.counts;
        return report;
    }

    /// @return the counts in the report row of a window, if the rows hold a readable one.
    std::optional<Usage::account_counts> findReport(const std::vector<Store::row>& rows, Usage::window_number window)
    {
        for (const Store::row& row : rows) {
            if (row.name.key == windowKey(window))
                return Usage::decodeCounts(row.value);
        }
        return {};
    }

    /// @return the first window that can still be reported in time.
    Usage::window_number oldestReportable(const usage_reporter& reporter, Usage::true_time trueNow)
    {
        const int64_t latestEnd = trueNow.value - reporter.due.count() + sendReserve.count();
        return { Usage::windowOf({ latestEnd }, reporter.windowLength).value };
    }

    void addDueWindows(usage_reporter& reporter, Usage::true_time trueNow)
    {
        const Usage::window_number newest { Usage::windowOf({ trueNow.value - settleTime.count() }, reporter.windowLength).value - 1 };
        const Usage::window_number oldest = oldestReportable(reporter, trueNow);
        const int64_t first = reporter.newestAdded ? std::max(reporter.newestAdded->value + 1, oldest.value) : oldest.value;
        for (int64_t number = first; number <= newest.value; ++number)
            reporter.pending.try_emplace({ number }, makeReport(reporter, { number }));
        if (newest.value >= first)
            reporter.newestAdded = newest;
        std::erase_if(reporter.pending, [oldest](const auto& entry) { return entry.first < oldest; });
        std::erase_if(reporter.known, [oldest](const auto& entry) { return entry.first < oldest; });
    }

    std::vector<Store::row_name> nextRemovals(const usage_reporter& reporter)
    {
        const size_t count = std::min(reporter.obsolete.size(), maxRemovals);
        return { reporter.obsolete.begin(), reporter.obsolete.begin() + static_cast<std::ptrdiff_t>(count) };
    }

    void dropRemoved(usage_reporter& reporter, size_t count)
    {
        reporter.obsolete.erase(reporter.obsolete.begin(), reporter.obsolete.begin() + static_cast<std::ptrdiff_t>(count));
    }

    usage_step makeStep(const usage_reporter& reporter, Usage::window_number window, window_report& report)
    {
        switch (report.stage) {
        case report_stage::Find:
            return find_report { window, { reportTable, "", windowKey(window), windowKey(window) + '\x01', 1 } };
        case report_stage::Collect:
            return read_counts { window, { countTable, "", windowKey(window) + "/", windowKey(window) + "0", 500 } };
        case report_stage::Record: {
            const Store::row_name name { reportTable, "", windowKey(window) };
            Store::transaction write;
            write.conditions.push_back({ name, {} });
            write.writes.push_back({ name, Usage::encodeCounts(report.counts) });
            write.removals = nextRemovals(reporter);
            report.removals = write.removals.size();
            return record_report { window, std::move(write) };
        }
        case report_stage::Send:
            break;
        }
        return send_report { window, report.counts };
    }

    window_report* find(usage_reporter& reporter, Usage::window_number window)
    {
        const auto found = reporter.pending.find(window);
        return found == reporter.pending.end() ? nullptr : &found->second;
    }

    /// Ends the report of a window, whose count rows are of no more use.
    void finishReport(usage_reporter& reporter, Usage::window_number window)
    {
        const std::vector<Store::row_name>& countRows = reporter.pending[window].countRows;
        reporter.obsolete.insert(reporter.obsolete.end(), countRows.begin(), countRows.end());
        reporter.pending.erase(window);
    }

    /// Goes on with a report that is in the store: sends it unless this node has done so.
    void proceedToSend(usage_reporter& reporter, Usage::window_number window, const Usage::account_counts& counts)
    {
        const known_report& known = reporter.known.try_emplace(window, known_report { counts }).first->second;
        if (known.isSent)
            return finishReport(reporter, window);
        window_report& report = reporter.pending[window];
        report.counts = counts;
        report.stage = report_stage::Send;
    }

} // namespace

Store::row_name countRow(Usage::window_number window, const Common::node_id& node, Common::incarnation_number incarnation)
{
    return countRow(fmt::format("{}/{}.{}", windowKey(window), node.value, incarnation.value));
}

Store::row_name countRow(const std::string& key)
{
    return { countTable, "", key };
}

std::optional<usage_step> nextStep(usage_reporter& reporter, Usage::true_time trueNow, Common::instant now)
{
    if (reporter.isCalling)
        return {};
    addDueWindows(reporter, trueNow);
    for (auto& [window, report] : reporter.pending) {
        if (now < report.nextTry)
            continue;
        reporter.isCalling = true;
        return makeStep(reporter, window, report);
    }
    if (reporter.obsolete.size() <= maxRemovals)
        return {};
    reporter.isCalling = true;
    remove_rows step;
    step.transaction.removals = nextRemovals(reporter);
    return step;
}

void beginEra(usage_reporter& reporter, Usage::true_time trueNow, Common::instant now)
{
    reporter.eraBegan = trueNow;
    reporter.collectFrom = now + settleTime;
    for (auto& [window, report] : reporter.pending)
        report = makeReport(reporter, window);
    for (const auto& [window, known] : reporter.known)
        reporter.pending[window] = makeReport(reporter, window);
    reporter.obsolete.clear();
}

bool handleFound(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now)
{
    reporter.isCalling = false;
    window_report* report = find(reporter, window);
    if (!report || report->stage != report_stage::Find)
        return false;
    if (answer.outcome != Store::call_outcome::Done) {
        report->nextTry = now + retryDelay;
        return false;
    }
    const auto counts = findReport(answer.rows, window);
    if (counts)
        proceedToSend(reporter, window, *counts);
    else
        reporter.pending.erase(window);
    return !counts;
}

void handleCounts(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now)
{
    reporter.isCalling = false;
    window_report* report = find(reporter, window);
    // An answer from before a new era may lack counts that the nodes write again.
    if (!report || report->stage != report_stage::Collect || now < report->nextTry)
        return;
    if (answer.outcome != Store::call_outcome::Done) {
        report->nextTry = now + retryDelay;
        return;
    }
    report->counts.clear();
    report->countRows.clear();
    for (const Store::row& row : answer.rows) {
        const auto counts = Usage::decodeCounts(row.value);
        if (!counts)
            continue;
        Usage::addCounts(report->counts, *counts);
        report->countRows.push_back(row.name);
    }
    report->stage = report_stage::Record;
}

bool handleRecorded(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now)
{
    reporter.isCalling = false;
    window_report* report = find(reporter, window);
    if (!report || report->stage != report_stage::Record)
        return false;
    if (answer.outcome == Store::call_outcome::Done) {
        dropRemoved(reporter, std::min(report->removals, reporter.obsolete.size()));
        proceedToSend(reporter, window, Usage::account_counts(report->counts));
        return false;
    }
    const auto stored = answer.outcome == Store::call_outcome::ConditionFailed ? findReport(answer.rows, window) : std::nullopt;
    if (!stored) {
        report->nextTry = now + retryDelay;
        return false;
    }
    const auto known = reporter.known.find(window);
    if (known != reporter.known.end() && known->second.counts != *stored) {
        reporter.pending.erase(window);
        return true;
    }
    proceedToSend(reporter, window, *stored);
    return false;
}

void handleSent(usage_reporter& reporter, Usage::window_number window, bool isDone, Common::instant now)
{
    reporter.isCalling = false;
    window_report* report = find(reporter, window);
    if (isDone && reporter.known.contains(window))
        reporter.known[window].isSent = true;
    if (!report || report->stage != report_stage::Send)
        return;
    if (!isDone) {
        report->nextTry = now + retryDelay;
        return;
    }
    finishReport(reporter, window);
}

void handleRemoved(usage_reporter& reporter, const remove_rows& step, const Store::rows_answer& answer)
{
    reporter.isCalling = false;
    if (answer.outcome == Store::call_outcome::Done)
        dropRemoved(reporter, step.transaction.removals.size());
}

void resetReporter(usage_reporter& reporter)
{
    reporter.pending.clear();
    reporter.newestAdded.reset();
    reporter.obsolete.clear();
    reporter.isCalling = false;
}

} // namespace Control
