#include "Store/TableState.h"

#include "Common/Compression.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Store {

namespace {

    /// Larger values, such as a whole catalog, are sent compressed.
    constexpr size_t maxPlainValueBytes = 4096;
    constexpr size_t maxValueBytes = size_t { 64 } * 1024 * 1024;

    void addRow(table_state& state, const row& item)
    {
        if (item.value.size() <= maxPlainValueBytes)
            state.changes.rows.push_back(item);
        else
            state.changes.compressedRows.push_back({ { item.name, "", item.version, false }, {}, Common::compress(item.value, {}) });
    }

    /// @return the rows of the state; empty when the copy lacks one that it should have, or a value can't be read.
    std::optional<std::map<std::string, row>> makeRows(const table_watch& watch, const table_state& state)
    {
        std::map<std::string, row> rows;
        for (const std::string& key : state.keptKeys) {
            const auto known = watch.rows.find(key);
            if (known == watch.rows.end())
                return {};
            rows.insert(*known);
        }
        for (const row& item : state.changes.rows)
            rows[item.name.key] = item;
        for (const compressed_row& compressed : state.changes.compressedRows) {
            auto value = Common::decompress(compressed.bytes, {}, maxValueBytes);
            if (!value)
                return {};
            row& item = rows[compressed.item.name.key];
            item = compressed.item;
            item.value = std::move(*value);
        }
        return rows;
    }

    void confirm(table_watch& watch, const relayed_changes& changes, Common::instant confirmedAt, Common::instant now)
    {
        watch.returnedTime = std::max(watch.returnedTime, changes.returnedAt);
        watch.confirmedTime = std::max(watch.confirmedTime, changes.confirmedAt);
        watch.confirmedAt = std::max(watch.confirmedAt, std::min(confirmedAt, now));
    }

} // namespace

state_query makeStateQuery(const table_watch& watch)
{
    if (!watch.isComplete)
        return { watch.settings.table, watch.era, {}, {} };
    return { watch.settings.table, watch.era, watch.newest, watch.confirmedTime };
}

std::optional<table_state> answerStateQuery(const table_watch& watch, const state_query& query)
{
    if (!watch.isComplete || watch.era != query.era || watch.newest < query.after || watch.confirmedTime <= query.confirmedAt)
        return {};
    table_state state;
    state.changes.table = watch.settings.table;
    state.changes.era = watch.era;
    state.changes.after = query.after;
    state.changes.newest = watch.newest;
    state.changes.confirmedAt = watch.confirmedTime;
    state.changes.returnedAt = watch.returnedTime;
    if (watch.newest == query.after)
        return state;
    for (const auto& [key, item] : watch.rows) {
        if (item.version > query.after)
            addRow(state, item);
        else
            state.keptKeys.push_back(key);
    }
    return state;
}

bool applyState(table_watch& watch, const table_state& state, Common::instant confirmedAt, Common::instant now)
{
    if (state.changes.era != watch.era || (watch.isComplete && state.changes.newest < watch.newest))
        return false;
    const bool hasChanged = !watch.isComplete || state.changes.newest > watch.newest;
    if (hasChanged) {
        // A copy that begins anew keeps its old rows, which a peer's answer to an earlier query may still name.
        auto rows = makeRows(watch, state);
        if (!rows || state.changes.newest == state.changes.after)
            return false;
        watch.rows = std::move(*rows);
        watch.newest = state.changes.newest;
        watch.isComplete = true;
        watch.reading = {};
        if (watch.pending == pending_query::FirstPage || watch.pending == pending_query::NextPage)
            watch.pending = pending_query::Outdated;
    }
    confirm(watch, state.changes, confirmedAt, now);
    return hasChanged;
}

} // namespace Store
