#pragma once

/// @file
/// The newest events of a node, by request, so that an operator can ask what happened to one and why.

#include "Common/Ids.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

namespace Audit {

/// One event with the time at which it was noted.
struct noted_event {
    Common::wall_time at;
    std::string event;
    nlohmann::json fields;
};

struct event_store {
    size_t maxRequests { 2000 };
    size_t maxEventsPerRequest { 64 };
    std::unordered_map<Common::request_id, std::vector<noted_event>> byRequest;
    std::deque<Common::request_id> order; ///< Oldest first.
};

/// Keeps an event; the oldest request is forgotten when the store is full.
void keepEvent(event_store& store, const Common::request_id& request, noted_event&& item);

/// @param store the events.
/// @param request the request asked for.
/// @return its events as JSON, oldest first; an empty array when it is not known.
nlohmann::ordered_json explainRequest(const event_store& store, const Common::request_id& request);

} // namespace Audit
