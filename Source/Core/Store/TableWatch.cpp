#include "Store/TableWatch.h"

#include <algorithm>
#include <utility>

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

    void recordConfirmation(table_watch& watch, store_time storeTime, Common::instant localTime)
    {
        watch.confirmedTime = storeTime;
        watch.confirmedAt = localTime;
    }

    /// @return whether this was the last page.
    bool applyPage(table_watch& watch, const rows_answer& answer, Common::instant now)
    {
        if (watch.reading.nextKey.empty()) {
            watch.reading.newest = answer.newest;
            watch.reading.readAt = answer.now;
            watch.reading.receivedAt = now - answer.elapsed;
        }
        for (const row& item : answer.rows)
            watch.reading.rows[item.name.key] = item;
        if (answer.hasMore && !answer.rows.empty()) {
            // Sorts directly after the last key read.
            watch.reading.nextKey = answer.rows.back().name.key + '\x01';
            return false;
        }
        watch.rows = std::move(watch.reading.rows);
        watch.newest = watch.reading.newest;
        recordConfirmation(watch, watch.reading.readAt, watch.reading.receivedAt);
        watch.reading = {};
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
            watch.nextCall = watch.confirmedAt + watch.settings.maxAge;
        else if (hasChanged)
            watch.nextCall = now + watch.settings.pause;
    }

    pending_query kindOfNext(const table_watch& watch)
    {
        if (watch.isComplete)
            return pending_query::Changes;
        return watch.reading.nextKey.empty() ? pending_query::FirstPage : pending_query::NextPage;
    }

    watch_event handleFailure(table_watch& watch, Common::instant now)
    {
        watch_event event;
        event.hasFailed = !watch.isFailing;
        watch.isFailing = true;
        recordFailure(watch, now);
        return event;
    }

    /// Drops an answer that says nothing about the copy.
    watch_event beginFullReadNow(table_watch& watch, Common::instant now)
    {
        beginFullRead(watch);
        watch.nextCall = now;
        watch_event event;
        event.isFullRead = true;
        return event;
    }

} // namespace

void beginEra(table_watch& watch, store_era era, Common::instant now)
{
    if (era <= watch.era)
        return;
    watch.era = era;
    watch.newest = {};
    beginFullRead(watch);
    if (watch.pending == pending_query::NextPage || watch.pending == pending_query::Changes)
        watch.pending = pending_query::Outdated;
    if (!watch.isFailing)
        watch.nextCall = now;
}

bool applyChanges(table_watch& watch, const std::vector<row>& rows, row_version newest)
{
    bool hasChanged = false;
    for (const row& item : rows) {
        if (!item.name.part.empty() || item.version <= watch.newest)
            continue;
        // A page that was read later than the first one may hold the row's newer state.
        const auto known = watch.rows.find(item.name.key);
        if (known != watch.rows.end() && known->second.version >= item.version)
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
    if (watch.pending != pending_query::None || (now < watch.nextCall && !(watch.isRefreshRequested && !watch.isFailing)))
        return {};
    if (watch.isRefreshRequested) {
        watch.isRefreshRequested = false;
        beginFullRead(watch);
    }
    watch.pending = kindOfNext(watch);
    if (!watch.isComplete)
        return range { watch.settings.table, "", watch.reading.nextKey, "", 500 };
    return change_query { watch.settings.table, watch.newest, watch.settings.maxWait };
}

watch_event handleAnswer(table_watch& watch, const rows_answer& answer, Common::instant now)
{
    beginEra(watch, answer.era, now);
    const pending_query query = std::exchange(watch.pending, pending_query::None);
    const bool isAnswered = answer.outcome == call_outcome::Done || answer.outcome == call_outcome::HistoryLost;
    const bool isLostAtOnce = answer.outcome == call_outcome::HistoryLost && query == pending_query::FirstPage;
    const bool saysNothing = answer.outcome == call_outcome::Done && answer.lacksRows;
    if (!isAnswered || isLostAtOnce || saysNothing || isOutdated(answer, watch.era))
        return handleFailure(watch, now);
    if (answer.outcome == call_outcome::HistoryLost || query == pending_query::Outdated)
        return beginFullReadNow(watch, now);
    watch_event event;
    event.hasReturned = watch.isFailing;
    event.wasAway = event.hasReturned && now - watch.confirmedAt > minOutage;
    if (event.wasAway)
        watch.returnedTime = answer.now;
    // Changes may have been missed during the failure, so all rows are read again.
    const bool needsFullRead = watch.isFailing && watch.isComplete;
    watch.isFailing = false;
    watch.failures = 0;
    event.isFullRead = !watch.isComplete;
    if (event.isFullRead) {
        event.hasChanged = applyPage(watch, answer, now);
    } else {
        event.hasChanged = applyChanges(watch, answer.rows, answer.newest);
        recordConfirmation(watch, answer.now, now - answer.elapsed);
    }
    watch.isRefreshRequested = watch.isRefreshRequested || needsFullRead;
    scheduleNext(watch, event.hasChanged, now);
    if (watch.newest < answer.newest)
        watch.nextCall = now;
    return event;
}

} // namespace Store
