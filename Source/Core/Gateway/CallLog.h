#pragma once

/// @file
/// Log lines about a request, and the serialized request to an endpoint.

#include "Gateway/Call.h"

#include <string_view>

namespace Gateway {

/// Logs that a request is retried at another endpoint after an attempt has ended.
void logRetry(const proxied_call& call, attempt_end outcome);

/// Logs that an endpoint's response holds the head of a second one.
void logSecondResponse(const proxied_call& call);

/// Logs that the connection of an attempt broke off: what the request has in common with others, how long after its start and
/// the head of the response, and how many other requests were at the endpoint.
/// @param othersInFlight this node's other requests at the endpoint.
/// @param now current time.
void logBrokenAttempt(const proxied_call& call, size_t othersInFlight, Common::instant now);

/// Logs the end of a request with the inputs of the decisions about it.
/// @param status HTTP status sent to the caller, or zero if no complete response was sent.
void logEnd(const proxied_call& call, std::string_view outcome, int status, Common::instant now);

/// Logs a request that is cut because the node's process ends: how long ago it was read, and how far it had got.
void logCut(const proxied_call& call, Common::instant now);

/// @param call a request.
/// @param lines header lines of the attempt, without Content-Length.
/// @return head and body of the HTTP request to the endpoint.
std::string writeRequest(const proxied_call& call, const std::vector<Http::header>& lines);

} // namespace Gateway
