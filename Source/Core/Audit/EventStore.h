#pragma once

/// @file
/// The events of this node's most recent requests, so that an operator can look up what happened to one and why.

#include "Common/Ids.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

namespace Audit {

/// An event and the time at which it occurred.
struct stored_event {
    Common::wall_time at;
    std::string event;
    nlohmann::json fields;
};

/// Events in memory, bounded by the number of requests and of events per request.
struct event_store {
    size_t maxRequests { 2000 };
    size_t maxEventsPerRequest { 64 };
    std::unordered_map<Common::request_id, std::vector<stored_event>> byRequest;
    std::deque<Common::request_id> requestOrder; ///< Oldest first.
};

/// Stores an event; drops it when the request has maxEventsPerRequest already. A new request evicts the oldest one with
/// all its events when the store is full.
/// @param store the events, changed in place.
/// @param request the request that the event belongs to.
/// @param item the event.
void storeEvent(event_store& store, const Common::request_id& request, stored_event&& item);

/// @param store the events.
/// @param request the request to look up.
/// @return its events as JSON, oldest first; an empty array when the request is not in the store.
nlohmann::ordered_json explainRequest(const event_store& store, const Common::request_id& request);

} // namespace Audit
