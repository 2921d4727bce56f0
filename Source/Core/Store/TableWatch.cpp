#include "Store/TableWatch.h"

#include <algorithm>

namespace Store {

namespace {

    constexpr std::chrono::milliseconds firstPause { 150 };
    constexpr uint32_t mostDoublings = 8;

    void fail(table_watch& watch, Common::instant now)
    {
        const uint32_t doublings = std::min(watch.failures, mostDoublings);
        ++watch.failures;
        watch.nextCall = now + std::min(firstPause * (1U << doublings), watch.settings.longestRetry);
        // A page of another moment must not be joined to this one.
        watch.incoming.clear();
        watch.readFrom.clear();
    }

    bool applyChanges(table_watch& watch, const rows_answer& answer)
    {
        bool hasChanged = false;
        for (const row& item : answer.rows) {
            if (!item.name.part.empty())
                continue;
            hasChanged = true;
            if (item.isRemoved)
                watch.rows.erase(item.name.key);
            else
                watch.rows[item.name.key] = item;
        }
        watch.newest = std::max(watch.newest, answer.newest);
        return hasChanged;
    }

    bool sameRows(const std::map<std::string, row>& left, const std::map<std::string, row>& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const auto& first, const auto& second) {
            return first.first == second.first && first.second.version == second.second.version;
        });
    }

    bool applyPage(table_watch& watch, const rows_answer& answer)
    {
        for (const row& item : answer.rows)
            watch.incoming[item.name.key] = item;
        if (answer.hasMore && !answer.rows.empty()) {
            // The first key behind the last one read.
            watch.readFrom = answer.rows.back().name.key + '\x01';
            return false;
        }
        const bool hasChanged = !watch.isWhole || !sameRows(watch.rows, watch.incoming);
        watch.rows = std::move(watch.incoming);
        watch.incoming.clear();
        watch.readFrom.clear();
        watch.newest = answer.newest;
        watch.isWhole = true;
        return hasChanged;
    }

} // namespace

std::optional<watch_query> nextQuery(table_watch& watch, Common::instant now)
{
    if (watch.isCalling || (now < watch.nextCall && !(watch.wantsRefresh && !watch.isLost)))
        return {};
    watch.isCalling = true;
    if (!watch.isWhole || watch.wantsRefresh) {
        watch.wantsRefresh = false;
        watch.isWhole = false;
        return range { watch.settings.table, "", watch.readFrom, "", 500 };
    }
    return change_query { watch.settings.table, watch.newest, watch.settings.longestWait };
}

watch_event takeAnswer(table_watch& watch, const rows_answer& answer, Common::instant now)
{
    watch_event event;
    watch.isCalling = false;
    if (answer.outcome == call_outcome::HistoryLost) {
        watch.isWhole = false;
        watch.nextCall = now;
        return event;
    }
    if (answer.outcome != call_outcome::Done) {
        event.hasFailed = !watch.isLost;
        watch.isLost = true;
        fail(watch, now);
        return event;
    }
    event.hasReturned = watch.isLost;
    // Changes may have been lost with the connection or the history: the rows are read whole again.
    const bool mustReread = watch.isLost && watch.isWhole;
    watch.isLost = false;
    watch.failures = 0;
    watch.nextCall = now;
    watch.heardAt = now;
    event.hasChanged = watch.isWhole ? applyChanges(watch, answer) : applyPage(watch, answer);
    watch.wantsRefresh = watch.wantsRefresh || mustReread;
    if (event.hasChanged && watch.isWhole)
        watch.nextCall = now + watch.settings.pause;
    return event;
}

} // namespace Store
