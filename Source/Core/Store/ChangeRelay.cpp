#include "Store/ChangeRelay.h"

#include <algorithm>
#include <utility>

namespace Store {

namespace {

    /// A relay sends its message to every node of its zone over one link. Larger changes, such as a whole catalog, are read
    /// from the store by each node.
    constexpr size_t maxRelayedBytes = 16384;

} // namespace

void recordChanges(relay_outbox& outbox, const std::vector<row>& rows)
{
    for (const row& item : rows) {
        outbox.bytes += item.name.key.size() + item.value.size();
        if (outbox.bytes <= maxRelayedBytes)
            outbox.rows.push_back(item);
    }
}

void resetOutbox(relay_outbox& outbox, const table_watch& watch)
{
    outbox.announced = watch.newest;
    outbox.rows.clear();
    outbox.bytes = 0;
}

relayed_changes takeChanges(relay_outbox& outbox, const table_watch& watch)
{
    relayed_changes changes;
    changes.table = watch.settings.table;
    changes.era = watch.era;
    changes.newest = watch.newest;
    changes.confirmedAt = watch.confirmedTime;
    changes.returnedAt = watch.returnedTime;
    changes.after = watch.newest;
    if (outbox.bytes <= maxRelayedBytes) {
        changes.after = outbox.announced;
        changes.rows = std::move(outbox.rows);
    }
    outbox.confirmedAt = watch.confirmedTime;
    resetOutbox(outbox, watch);
    return changes;
}

bool applyRelayed(table_watch& watch, const relayed_changes& changes, Common::instant confirmedAt, Common::instant now)
{
    if (!watch.isComplete || changes.era < watch.era)
        return false;
    if (changes.era > watch.era || changes.after > watch.newest) {
        // While the store doesn't answer this node, its retries keep their delay.
        if (!watch.isFailing)
            watch.nextCall = std::min(watch.nextCall, now);
        return false;
    }
    const bool hasChanged = applyChanges(watch, changes.rows, changes.newest);
    watch.returnedTime = std::max(watch.returnedTime, changes.returnedAt);
    watch.confirmedTime = std::max(watch.confirmedTime, changes.confirmedAt);
    watch.confirmedAt = std::max(watch.confirmedAt, std::min(confirmedAt, now));
    watch.nextCall = std::max(watch.nextCall, watch.confirmedAt + watch.settings.maxAge);
    return hasChanged;
}

} // namespace Store
