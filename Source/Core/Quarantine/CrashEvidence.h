#pragma once

/// @file
/// Tells which broken responses come from an endpoint that went down, and the fingerprints of their requests. Reads no clock
/// and no socket.

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

/// A response that broke off shortly after it began.
struct broken_response {
    endpoint_start start;
    std::vector<fingerprint> fingerprints; ///< Of the request.
    Common::instant brokenAt;
};

/// Broken responses of which it isn't known yet whether their endpoint went down, oldest first.
struct crash_evidence {
    std::deque<broken_response> pending;
};

/// A response that broke off later than this after its head doesn't count against the request's fingerprints.
constexpr milliseconds maxResponseAge { 1000 };
/// A broken response whose endpoint stays up for this time is forgotten. Covers the time after which a listing no longer
/// contains an endpoint that went down.
constexpr milliseconds pendingLifetime { 6000 };
constexpr size_t maxPendingResponses = 256;

/// Adds a broken response; the oldest one is dropped if there are too many.
/// @param evidence changed in place.
/// @param response a response that broke off at most maxResponseAge after its head.
void addBrokenResponse(crash_evidence& evidence, broken_response response);

/// The endpoint went down.
/// @return its broken responses, which are no longer pending.
std::vector<broken_response> takeCrashed(crash_evidence& evidence, const endpoint_start& start);

/// Takes the broken responses of endpoints that are no longer listed or were started again. An endpoint that announced
/// that it leaves didn't crash.
/// @param listed all known endpoints.
/// @param now current time.
/// @return the broken responses of endpoints that went down.
std::vector<broken_response> takeVanished(crash_evidence& evidence, const Fleet::endpoint_map& listed, Common::instant now);

/// The endpoint was up at a time: forgets its broken responses before that time.
void clearStillUp(crash_evidence& evidence, const endpoint_start& start, Common::instant upAt);

} // namespace Quarantine
