#include "Store/TableWatch.h"

#include <algorithm>

namespace Store {

namespace {

    constexpr std::chrono::milliseconds initialRetryDelay { 150 };
    constexpr uint32_t maxDoublings = 8;

    void recordFailure(table_watch& watch, Common::instant now)
    {
        const uint32_t doublings = std::min(watch.failures, maxDoublings);
        ++watch.failures;
        watch.nextCall = now + std::min(initialRetryDelay * (1U << doublings), watch.settings.maxRetryDelay);
        watch.reading = {};
    }

    void beginFullRead(table_watch& watch)
    {
        watch.reading = {};
        watch.isComplete = false;
    }

    /// @return whether this was the last page.
    bool applyPage(table_watch& watch, const rows_answer& answer)
    {
        for (const row& item : answer.rows)
            watch.reading.rows[item.name.key] = item;
        if (answer.hasMore && !answer.rows.empty()) {
            // Sorts directly after the last key read.
            watch.reading.nextKey = answer.rows.back().name.key + '\x01';
            return false;
        }
        watch.rows = std::move(watch.reading.rows);
        watch.reading = {};
        watch.newest = answer.newest;
        watch.isComplete = true;
        return true;
    }

    /// Sets the time of the next call after a successful one.
    void scheduleNext(table_watch& watch, bool hasChanged, Common::instant now)
    {
        watch.nextCall = now;
        if (!watch.isComplete)
            return;
        if (watch.settings.maxAge.count() > 0)
            watch.nextCall = now + watch.settings.maxAge;
        else if (hasChanged)
            watch.nextCall = now + watch.settings.pause;
    }

} // namespace

bool applyChanges(table_watch& watch, const std::vector<row>& rows, row_version newest)
{
    bool hasChanged = false;
    for (const row& item : rows) {
        if (!item.name.part.empty() || item.version <= watch.newest)
            continue;
        hasChanged = true;
        if (item.isRemoved)
            watch.rows.erase(item.name.key);
        else
            watch.rows[item.name.key] = item;
    }
    watch.newest = std::max(watch.newest, newest);
    return hasChanged;
}

std::optional<watch_query> nextQuery(table_watch& watch, Common::instant now)
{
    if (watch.isCallPending || (now < watch.nextCall && !(watch.isRefreshRequested && !watch.isFailing)))
        return {};
    watch.isCallPending = true;
    if (watch.isRefreshRequested) {
        watch.isRefreshRequested = false;
        beginFullRead(watch);
    }
    if (!watch.isComplete)
        return range { watch.settings.table, "", watch.reading.nextKey, "", 500 };
    return change_query { watch.settings.table, watch.newest, watch.settings.maxWait };
}

watch_event handleAnswer(table_watch& watch, const rows_answer& answer, Common::instant now)
{
    watch_event event;
    watch.isCallPending = false;
    if (answer.outcome == call_outcome::HistoryLost) {
        beginFullRead(watch);
        watch.nextCall = now;
        return event;
    }
    if (answer.outcome != call_outcome::Done) {
        event.hasFailed = !watch.isFailing;
        watch.isFailing = true;
        recordFailure(watch, now);
        return event;
    }
    event.hasReturned = watch.isFailing;
    if (event.hasReturned)
        watch.returnedTime = answer.now;
    // Changes may have been missed during the failure, so all rows are read again.
    const bool needsFullRead = watch.isFailing && watch.isComplete;
    watch.isFailing = false;
    watch.failures = 0;
    event.isFullRead = !watch.isComplete;
    event.hasChanged = watch.isComplete ? applyChanges(watch, answer.rows, answer.newest) : applyPage(watch, answer);
    watch.isRefreshRequested = watch.isRefreshRequested || needsFullRead;
    if (watch.isComplete) {
        watch.confirmedAt = now;
        watch.confirmedTime = answer.now;
    }
    scheduleNext(watch, event.hasChanged, now);
    return event;
}

} // namespace Store
