#include "Control/QuarantineRows.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace Control {

namespace {

    constexpr const char* quarantineTable = "quarantine";
    constexpr milliseconds retryDelay { 500 };
    /// A node that can't read the rows sooner serves without them; other nodes tell it what they know.
    constexpr milliseconds maxWaitForRows { 400 };
    /// The store accepts no larger transaction.
    constexpr size_t maxRowsPerWrite = 100;

    Store::row_name rowName(Quarantine::fingerprint subject)
    {
        return { quarantineTable, "", Quarantine::encodeKey(subject) };
    }

    void handleRows(quarantine_rows& rows, const Store::rows_answer& answer)
    {
        rows.isReading = false;
        rows.hasTried = true;
        rows.nextRead = Common::bootClockNow() + retryDelay;
        if (answer.outcome != Store::call_outcome::Done)
            return;
        rows.isRead = true;
        Gateway::quarantines_read message;
        for (const Store::row& row : answer.rows) {
            const auto item = Quarantine::decodeRow(row.name.key, row.value);
            if (item)
                message.items.push_back(*item);
            else
                Common::logEvent(Common::log_level::Warning, "quarantine_row_unreadable", { { "key", row.name.key } });
        }
        Common::logEvent(Common::log_level::Info, "quarantines_read", { { "rows", message.items.size() }, { "has_more", answer.hasMore } });
        rows.outlets.sendToGateway(std::move(message));
    }

    void read(quarantine_rows& rows, Common::instant now)
    {
        if (rows.isRead || rows.isReading || now < rows.nextRead)
            return;
        rows.isReading = true;
        Store::range range { quarantineTable, "", "", "" };
        range.limit = Quarantine::maxStoredQuarantines;
        rows.context.call(rows.context.settings.calls.rows(rows.context.storeAddress(), range), [&rows](const Store::rows_answer& answer) { handleRows(rows, answer); });
    }

    void recordWritten(quarantine_rows& rows, const std::vector<Quarantine::stored_quarantine>& items)
    {
        for (const Quarantine::stored_quarantine& item : items) {
            if (item.isRemoved)
                rows.written.erase(item.subject);
            else
                rows.written[item.subject] = item;
        }
    }

    void write(quarantine_rows& rows, Common::instant now)
    {
        if (rows.unwritten.empty() || rows.isWriting || now < rows.nextWrite)
            return;
        std::vector<Quarantine::stored_quarantine> items;
        Store::transaction change;
        while (!rows.unwritten.empty() && items.size() < maxRowsPerWrite) {
            const Quarantine::stored_quarantine item = rows.unwritten.extract(rows.unwritten.begin()).mapped();
            items.push_back(item);
            if (item.isRemoved)
                change.removals.push_back(rowName(item.subject));
            else
                change.writes.push_back({ rowName(item.subject), Quarantine::encodeValue(item) });
        }
        rows.isWriting = true;
        rows.context.commit(change, [&rows, items = std::move(items)](const Store::rows_answer& answer) {
            rows.isWriting = false;
            if (answer.outcome == Store::call_outcome::Done)
                return recordWritten(rows, items);
            rows.nextWrite = Common::bootClockNow() + retryDelay;
            for (const Quarantine::stored_quarantine& item : items)
                rows.unwritten.try_emplace(item.subject, item);
        });
    }

} // namespace

void addChanges(quarantine_rows& rows, const std::vector<Quarantine::stored_quarantine>& changes)
{
    for (const Quarantine::stored_quarantine& item : changes) {
        const bool isFull = rows.unwritten.size() + rows.written.size() >= Quarantine::maxStoredQuarantines;
        if (!item.isRemoved && isFull && !rows.written.contains(item.subject))
            Common::logEvent(Common::log_level::Warning, "quarantine_not_stored", { { "fingerprint", Quarantine::encodeKey(item.subject) } });
        else
            rows.unwritten[item.subject] = item;
    }
}

void maintain(quarantine_rows& rows, Common::instant now)
{
    if (!rows.started)
        rows.started = now;
    read(rows, now);
    write(rows, now);
}

bool mayServe(const quarantine_rows& rows, Common::instant now)
{
    return rows.hasTried || (rows.started && now - *rows.started >= maxWaitForRows);
}

void beginEra(quarantine_rows& rows)
{
    for (const auto& [subject, item] : rows.written)
        rows.unwritten.try_emplace(subject, item);
}

} // namespace Control
