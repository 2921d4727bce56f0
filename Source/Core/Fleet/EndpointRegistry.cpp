#include "Fleet/EndpointRegistry.h"

#include <algorithm>
#include <set>

namespace Fleet {

namespace {

    void dropEarliestGoneMark(endpoint_registry& registry)
    {
        auto earliest = registry.leaving.end();
        for (auto mark = registry.leaving.begin(); mark != registry.leaving.end(); ++mark) {
            if (registry.endpoints.contains(mark->first))
                continue;
            if (earliest == registry.leaving.end() || mark->second < earliest->second)
                earliest = mark;
        }
        if (earliest != registry.leaving.end())
            registry.leaving.erase(earliest);
    }

    void addLeavingMark(endpoint_registry& registry, const Common::endpoint_id& id, start_time started)
    {
        registry.leaving[id] = started;
        if (registry.leaving.size() > maxLeavingMarks)
            dropEarliestGoneMark(registry);
    }

    /// Keeps a known leaving mark that the listing doesn't hold yet, and records a new one.
    void applyKnownLeaving(endpoint_registry& registry, endpoint& item)
    {
        const auto known = registry.leaving.find(item.id);
        if (known != registry.leaving.end() && known->second == item.started)
            item.phase = endpoint_phase::Leaving;
        if (item.phase == endpoint_phase::Leaving)
            addLeavingMark(registry, item.id, item.started);
    }

    void applyEntry(endpoint_registry& registry, endpoint item, std::vector<endpoint_change>& changes)
    {
        applyKnownLeaving(registry, item);
        registry.missingSince.erase(item.id);
        const auto known = registry.endpoints.find(item.id);
        if (known == registry.endpoints.end()) {
            changes.push_back({ change_kind::Appeared, item });
            registry.endpoints.emplace(item.id, std::move(item));
            return;
        }
        const bool isRestart = known->second.started != item.started || known->second.address != item.address;
        const bool beganLeaving = known->second.phase == endpoint_phase::Ready && item.phase == endpoint_phase::Leaving;
        if (isRestart)
            changes.push_back({ change_kind::Restarted, item });
        if (beganLeaving)
            changes.push_back({ change_kind::BeganLeaving, item });
        known->second = std::move(item);
    }

    /// @return whether a missing endpoint is to be removed now; otherwise it is recorded as missing.
    bool isRemovalDue(endpoint_registry& registry, const Common::endpoint_id& id, Common::instant now)
    {
        if (now >= registry.missingToleratedUntil)
            return true;
        registry.missingSince.emplace(id, now);
        return false;
    }

} // namespace

std::vector<endpoint_change> applyListing(endpoint_registry& registry, const listing& latest, Common::instant now)
{
    std::vector<endpoint_change> changes;
    std::set<Common::endpoint_id> listed;
    for (const endpoint& item : latest.endpoints) {
        listed.insert(item.id);
        applyEntry(registry, item, changes);
    }
    for (auto entry = registry.endpoints.begin(); entry != registry.endpoints.end();) {
        if (listed.contains(entry->first) || !isRemovalDue(registry, entry->first, now)) {
            ++entry;
            continue;
        }
        changes.push_back({ change_kind::Disappeared, entry->second });
        registry.missingSince.erase(entry->first);
        entry = registry.endpoints.erase(entry);
    }
    return changes;
}

std::vector<endpoint_change> removeExpiredMissing(endpoint_registry& registry, Common::instant now)
{
    std::vector<endpoint_change> changes;
    if (now < registry.missingToleratedUntil)
        return changes;
    for (const auto& [id, since] : registry.missingSince) {
        const auto known = registry.endpoints.find(id);
        if (known == registry.endpoints.end())
            continue;
        changes.push_back({ change_kind::Disappeared, known->second });
        registry.endpoints.erase(known);
    }
    registry.missingSince.clear();
    return changes;
}

void startMissingEntryGrace(endpoint_registry& registry, Common::instant returnedAt)
{
    registry.missingToleratedUntil = std::max(registry.missingToleratedUntil, returnedAt + missingEntryGrace);
}

std::optional<endpoint_change> markLeaving(endpoint_registry& registry, const Common::endpoint_id& id, start_time started)
{
    const auto known = registry.endpoints.find(id);
    if (known == registry.endpoints.end() || known->second.started != started)
        return {};
    if (known->second.phase == endpoint_phase::Leaving)
        return {};
    known->second.phase = endpoint_phase::Leaving;
    addLeavingMark(registry, id, started);
    return endpoint_change { change_kind::BeganLeaving, known->second };
}

const char* nameOf(change_kind kind)
{
    switch (kind) {
    case change_kind::Appeared:
        return "appeared";
    case change_kind::BeganLeaving:
        return "began_leaving";
    case change_kind::Disappeared:
        return "disappeared";
    case change_kind::Restarted:
        return "restarted";
    }
    return "unknown";
}

} // namespace Fleet
