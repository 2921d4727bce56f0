#pragma once

/// @file
/// Tells which requests were at an endpoint when it went down. Reads no clock and no socket.

#include "Fleet/EndpointRegistry.h"
#include "Quarantine/Fingerprint.h"

#include <compare>
#include <deque>
#include <vector>

namespace Quarantine {

using std::chrono::milliseconds;

/// One run of an endpoint.
struct endpoint_start {
    Common::endpoint_id endpoint;
    Fleet::start_time started;

    friend auto operator<=>(const endpoint_start&, const endpoint_start&) = default;
};

/// A request that was at an endpoint without an answer that shows the endpoint to be up: its response broke off, or it
/// ended unanswered.
struct unanswered_request {
    endpoint_start start;
    Common::service_name service;
    std::vector<fingerprint> fingerprints;
    Common::instant endedAt;
    milliseconds exposure { 0 }; ///< Time for which it was at the endpoint.
};

/// Requests of which it isn't known yet whether their endpoint went down, oldest first.
struct crash_evidence {
    std::deque<unanswered_request> pending;
};

/// A request whose endpoint stays up for this time is forgotten. Covers the time after which a listing no longer contains
/// an endpoint that went down.
constexpr milliseconds pendingLifetime { 6000 };
constexpr size_t maxPendingRequests = 1024;

/// Adds a request; the oldest one is dropped if there are too many.
/// @param evidence changed in place.
void addUnanswered(crash_evidence& evidence, unanswered_request request);

/// The endpoint went down.
/// @return its requests, which are no longer pending.
std::vector<unanswered_request> takeCrashed(crash_evidence& evidence, const endpoint_start& start);

/// Takes the requests of endpoints that are no longer listed or were started again. An endpoint that announced that it
/// leaves didn't crash.
/// @param listed all known endpoints.
/// @param now current time.
/// @return the requests of endpoints that went down.
std::vector<unanswered_request> takeVanished(crash_evidence& evidence, const Fleet::endpoint_map& listed, Common::instant now);

/// The endpoint was up at a time: forgets its requests that ended before that time.
void clearStillUp(crash_evidence& evidence, const endpoint_start& start, Common::instant upAt);

} // namespace Quarantine
