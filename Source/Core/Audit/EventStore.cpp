#include "Audit/EventStore.h"

namespace Audit {

void storeEvent(event_store& store, const Common::request_id& request, stored_event&& item)
{
    auto found = store.byRequest.find(request);
    if (found == store.byRequest.end()) {
        if (store.requestOrder.size() >= store.maxRequests) {
            store.byRequest.erase(store.requestOrder.front());
            store.requestOrder.pop_front();
        }
        found = store.byRequest.emplace(request, std::vector<stored_event> {}).first;
        store.requestOrder.push_back(request);
    }
    if (found->second.size() < store.maxEventsPerRequest)
        found->second.push_back(std::move(item));
}

nlohmann::ordered_json explainRequest(const event_store& store, const Common::request_id& request)
{
    nlohmann::ordered_json events = nlohmann::ordered_json::array();
    const auto found = store.byRequest.find(request);
    if (found == store.byRequest.end())
        return events;
    for (const stored_event& item : found->second) {
        nlohmann::ordered_json entry { { "at_ms", item.at.value }, { "event", item.event } };
        entry.update(item.fields);
        events.push_back(std::move(entry));
    }
    return events;
}

} // namespace Audit
