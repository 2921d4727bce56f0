#include "Store/ChangeRelay.h"

#include "Common/Compression.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace Store {

namespace {

    /// A relay sends its message to every node of its zone over one link. Larger changes are read from the store by each
    /// node.
    constexpr size_t maxRelayedBytes = 16384;
    constexpr size_t maxCompressedBytes = size_t { 1024 } * 1024;
    /// Larger values, such as a whole catalog, are sent as differences.
    constexpr size_t maxPlainValueBytes = 4096;
    constexpr size_t maxValueBytes = size_t { 64 } * 1024 * 1024;

    bool isLarge(const row& item)
    {
        return !item.isRemoved && item.value.size() > maxPlainValueBytes;
    }

    compressed_row compressRow(const relay_outbox& outbox, const row& item)
    {
        compressed_row made;
        made.item = { item.name, "", item.version, false };
        const auto base = outbox.bases.find(item.name.key);
        const bool hasBase = base != outbox.bases.end();
        made.base = hasBase ? base->second.version : row_version {};
        made.bytes = Common::compress(item.value, hasBase ? std::string_view(base->second.value) : std::string_view());
        return made;
    }

    /// @return the compressed large rows; empty when they are too large for a message.
    std::optional<std::vector<compressed_row>> compressRows(const relay_outbox& outbox)
    {
        std::vector<compressed_row> rows;
        size_t bytes = 0;
        for (const auto& [key, item] : outbox.largeRows) {
            rows.push_back(compressRow(outbox, item));
            bytes += rows.back().bytes.size();
        }
        if (bytes > maxCompressedBytes)
            return {};
        return rows;
    }

    /// Copies only the values that have changed.
    void keepBases(relay_outbox& outbox, const table_watch& watch)
    {
        std::erase_if(outbox.bases, [&watch](const auto& entry) { return !watch.rows.contains(entry.first); });
        for (const auto& [key, item] : watch.rows) {
            if (!isLarge(item)) {
                outbox.bases.erase(key);
                continue;
            }
            row& base = outbox.bases[key];
            if (base.version != item.version || base.value != item.value)
                base = item;
        }
    }

    /// @return the row with its value; empty when the copy doesn't have the row's base.
    std::optional<row> decompressRow(const table_watch& watch, const compressed_row& compressed)
    {
        std::string_view base;
        if (compressed.base.value != 0) {
            const auto known = watch.rows.find(compressed.item.name.key);
            if (known == watch.rows.end() || known->second.version != compressed.base)
                return {};
            base = known->second.value;
        }
        auto value = Common::decompress(compressed.bytes, base, maxValueBytes);
        if (!value)
            return {};
        row item = compressed.item;
        item.value = std::move(*value);
        return item;
    }

    /// @return all rows of the message that the copy lacks; empty when one of them can't be decompressed.
    std::optional<std::vector<row>> readRows(const table_watch& watch, const relayed_changes& changes)
    {
        std::vector<row> rows = changes.rows;
        for (const compressed_row& compressed : changes.compressedRows) {
            const auto known = watch.rows.find(compressed.item.name.key);
            const bool isKnown = known != watch.rows.end() && known->second.version >= compressed.item.version;
            if (isKnown || compressed.item.version <= watch.newest)
                continue;
            auto item = decompressRow(watch, compressed);
            if (!item)
                return {};
            rows.push_back(std::move(*item));
        }
        return rows;
    }

    /// While the store doesn't answer this node, its retries keep their delay.
    void readStoreNow(table_watch& watch, Common::instant now)
    {
        if (!watch.isFailing)
            watch.nextCall = std::min(watch.nextCall, now);
    }

} // namespace

void recordChanges(relay_outbox& outbox, const std::vector<row>& rows)
{
    for (const row& item : rows) {
        outbox.largeRows.erase(item.name.key);
        if (isLarge(item)) {
            outbox.largeRows.emplace(item.name.key, item);
            continue;
        }
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
    outbox.largeRows.clear();
    keepBases(outbox, watch);
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
    auto compressed = compressRows(outbox);
    if (outbox.bytes <= maxRelayedBytes && compressed) {
        changes.after = outbox.announced;
        changes.rows = std::move(outbox.rows);
        changes.compressedRows = std::move(*compressed);
    }
    outbox.confirmedAt = watch.confirmedTime;
    resetOutbox(outbox, watch);
    return changes;
}

change_fit fitOf(const table_watch& watch, const relayed_changes& changes)
{
    if (!watch.isComplete)
        return change_fit::Incomplete;
    if (changes.era < watch.era)
        return change_fit::EarlierEra;
    if (changes.era > watch.era)
        return change_fit::LaterEra;
    return changes.after > watch.newest ? change_fit::Gap : change_fit::Applies;
}

const char* nameOf(change_fit fit)
{
    switch (fit) {
    case change_fit::Applies:
        return "applies";
    case change_fit::Incomplete:
        return "incomplete";
    case change_fit::EarlierEra:
        return "earlier_era";
    case change_fit::LaterEra:
        return "later_era";
    case change_fit::Gap:
        return "gap";
    }
    return "unknown";
}

bool applyRelayed(table_watch& watch, const relayed_changes& changes, Common::instant confirmedAt, Common::instant now)
{
    const change_fit fit = fitOf(watch, changes);
    if (fit == change_fit::Incomplete || fit == change_fit::EarlierEra)
        return false;
    if (fit != change_fit::Applies) {
        readStoreNow(watch, now);
        return false;
    }
    const auto rows = readRows(watch, changes);
    if (!rows) {
        readStoreNow(watch, now);
        return false;
    }
    const bool hasChanged = applyChanges(watch, *rows, changes.newest);
    watch.returnedTime = std::max(watch.returnedTime, changes.returnedAt);
    watch.confirmedTime = std::max(watch.confirmedTime, changes.confirmedAt);
    watch.confirmedAt = std::max(watch.confirmedAt, std::min(confirmedAt, now));
    watch.nextCall = std::max(watch.nextCall, watch.confirmedAt + watch.settings.maxAge);
    return hasChanged;
}

} // namespace Store
