#include "Audit/EventStore.h"

namespace Audit {

void keepEvent(event_store& store, const Common::request_id& request, noted_event&& item)
{
    auto found = store.byRequest.find(request);
    if (found == store.byRequest.end()) {
        if (store.order.size() >= store.maxRequests) {
            store.byRequest.erase(store.order.front());
            store.order.pop_front();
        }
        found = store.byRequest.emplace(request, std::vector<noted_event> {}).first;
        store.order.push_back(request);
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
    for (const noted_event& item : found->second) {
        nlohmann::ordered_json line { { "at_ms", item.at.value }, { "event", item.event } };
        line.update(item.fields);
        events.push_back(std::move(line));
    }
    return events;
}

} // namespace Audit
