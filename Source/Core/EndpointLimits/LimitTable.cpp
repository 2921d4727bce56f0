#include "EndpointLimits/LimitTable.h"

#include <algorithm>

namespace EndpointLimits {

namespace {

    void dropOldest(limit_table& table)
    {
        const auto oldest = std::min_element(table.begin(), table.end(), [](const auto& left, const auto& right) {
            return left.second.statedAt < right.second.statedAt;
        });
        table.erase(oldest);
    }

    /// @return the record of this start, which is added if there is none; null if a later start is known.
    limit_record* findOrAdd(limit_table& table, const endpoint_start& start)
    {
        if (!table.contains(start.endpoint) && table.size() >= maxLimitRecords)
            dropOldest(table);
        limit_record& record = table.try_emplace(start.endpoint, limit_record { start.started, 0, {} }).first->second;
        if (start.started < record.started)
            return nullptr;
        if (record.started < start.started)
            record = limit_record { start.started, 0, {} };
        return &record;
    }

    limit_change compare(double before, double after)
    {
        if (before == after)
            return limit_change::None;
        if (after <= 0)
            return limit_change::Withdrawn;
        return before <= 0 ? limit_change::Stated : limit_change::Changed;
    }

} // namespace

const char* nameOf(limit_change change)
{
    switch (change) {
    case limit_change::None:
        return "none";
    case limit_change::Stated:
        return "stated";
    case limit_change::Changed:
        return "changed";
    case limit_change::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

limit_change recordLimit(limit_table& table, const endpoint_start& start, double perSecond, Common::instant statedAt)
{
    // Most endpoints never state a limit and need no record.
    if (perSecond <= 0 && !table.contains(start.endpoint))
        return limit_change::None;
    limit_record* record = findOrAdd(table, start);
    if (!record || statedAt < record->statedAt)
        return limit_change::None;
    const double before = record->perSecond;
    record->perSecond = perSecond > 0 ? std::max(perSecond, minPerSecond) : 0;
    record->statedAt = statedAt;
    return compare(before, record->perSecond);
}

bool markInvalidLogged(limit_table& table, const endpoint_start& start, Common::instant now)
{
    limit_record* record = findOrAdd(table, start);
    if (!record || record->isInvalidLogged)
        return false;
    record->isInvalidLogged = true;
    record->statedAt = std::max(record->statedAt, now);
    return true;
}

const limit_record* findLimit(const limit_table& table, const endpoint_start& start)
{
    const auto found = table.find(start.endpoint);
    if (found == table.end() || found->second.started != start.started || found->second.perSecond <= 0)
        return nullptr;
    return &found->second;
}

} // namespace EndpointLimits
