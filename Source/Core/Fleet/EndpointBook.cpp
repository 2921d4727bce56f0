#include "Fleet/EndpointBook.h"

#include <set>

namespace Fleet {

namespace {

    void keepLeaving(endpoint_book& book, endpoint& item)
    {
        const auto known = book.leaving.find(item.id);
        if (known != book.leaving.end() && known->second == item.started)
            item.phase = endpoint_phase::Leaving;
        if (item.phase == endpoint_phase::Leaving)
            book.leaving[item.id] = item.started;
    }

    void applyEntry(endpoint_book& book, endpoint item, std::vector<endpoint_change>& changes)
    {
        keepLeaving(book, item);
        book.missingSince.erase(item.id);
        const auto known = book.endpoints.find(item.id);
        if (known == book.endpoints.end()) {
            changes.push_back({ change_kind::Appeared, item });
            book.endpoints.emplace(item.id, std::move(item));
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

    bool isGone(endpoint_book& book, const Common::endpoint_id& id, Common::instant now)
    {
        if (now >= book.toleratesMissingUntil)
            return true;
        book.missingSince.emplace(id, now);
        return false;
    }

} // namespace

std::vector<endpoint_change> applyListing(endpoint_book& book, const listing& heard, Common::instant now)
{
    std::vector<endpoint_change> changes;
    std::set<Common::endpoint_id> listed;
    for (const endpoint& item : heard.endpoints) {
        listed.insert(item.id);
        applyEntry(book, item, changes);
    }
    for (auto entry = book.endpoints.begin(); entry != book.endpoints.end();) {
        if (listed.contains(entry->first) || !isGone(book, entry->first, now)) {
            ++entry;
            continue;
        }
        changes.push_back({ change_kind::Disappeared, entry->second });
        book.leaving.erase(entry->first);
        book.missingSince.erase(entry->first);
        entry = book.endpoints.erase(entry);
    }
    return changes;
}

std::vector<endpoint_change> dropMissing(endpoint_book& book, Common::instant now)
{
    std::vector<endpoint_change> changes;
    if (now < book.toleratesMissingUntil)
        return changes;
    for (const auto& [id, since] : book.missingSince) {
        const auto known = book.endpoints.find(id);
        if (known == book.endpoints.end())
            continue;
        changes.push_back({ change_kind::Disappeared, known->second });
        book.leaving.erase(id);
        book.endpoints.erase(known);
    }
    book.missingSince.clear();
    return changes;
}

void noteStoreReturned(endpoint_book& book, Common::instant now)
{
    book.toleratesMissingUntil = now + entriesReturnWithin;
}

std::optional<endpoint_change> noteLeaving(endpoint_book& book, const Common::endpoint_id& id, start_time started)
{
    const auto known = book.endpoints.find(id);
    if (known == book.endpoints.end() || known->second.started != started)
        return {};
    if (known->second.phase == endpoint_phase::Leaving)
        return {};
    known->second.phase = endpoint_phase::Leaving;
    book.leaving[id] = started;
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
