#pragma once

/// @file
/// The facts that the gateway needs about a request and a response, and the functions that parse them from header lines.
/// Bodies are forwarded without being interpreted. The adapter that supplies the functions defines the header names.

#include "Common/Ids.h"
#include "Http/Server.h"
#include "Scheduling/Work.h"

#include <optional>
#include <string>
#include <vector>

namespace Gateway {

using std::chrono::milliseconds;

/// Facts parsed from the headers of a caller's request.
struct request_facts {
    std::string attemptId; ///< Chosen by the caller; a retry by the caller has a different id.
    std::string key; ///< API key of a client account. Secret: must not be logged.
    std::optional<milliseconds> timeBudget; ///< How long the caller waits, from the arrival of the request.
    std::optional<Scheduling::model_request> model;
    std::optional<uint64_t> lastEventId; ///< The caller continues a stream after this event.
    std::optional<uint32_t> relayedEndpoints; ///< Set if another node relays the request: endpoints that may still get it.
    std::vector<Http::header> forwardedHeaders; ///< Header lines forwarded to the endpoint unchanged.
};

/// What the gateway adds to the caller's header lines in an attempt.
struct attempt_facts {
    milliseconds timeBudget { 0 };
    Common::endpoint_id endpoint; ///< Checked by the endpoint, which rejects a request meant for another one.
    Common::account_id account; ///< Empty when the route needs no key.
    std::optional<uint32_t> urgency; ///< 0 is the most urgent, 9 the least.
    std::string resumeAfter; ///< Id of the last event that the caller has; empty if the stream starts at its beginning.
};

/// How long an endpoint wants no requests, as its response states it.
struct stated_backoff {
    std::string text; ///< As sent, for logs.
    std::optional<std::chrono::duration<double>> time; ///< Any number of seconds; empty if the text is no number.
};

/// How many requests per second an endpoint takes, or bears to turn away, from all nodes together, as its response states
/// it.
struct stated_limit {
    std::string text; ///< As sent, for logs.
    std::optional<double> perSecond; ///< Empty if the text is not one finite number of zero or more.
};

/// Facts parsed from the headers of an endpoint's response.
struct response_facts {
    std::string attemptId; ///< Attempt id of the request that the response belongs to; may be empty.
    bool hasProofOfOrigin { false }; ///< The response carries an endpoint's proof of origin.
    bool hasNotRun { false }; ///< The endpoint states that it did not run the request.
    bool isLeaving { false }; ///< The endpoint states that it is leaving.
    std::optional<stated_backoff> backoff;
    std::optional<stated_limit> limit;
    std::optional<stated_limit> brittle; ///< Rejections per second that the endpoint bears.
    std::optional<Scheduling::reported_load> load;
    std::optional<milliseconds> keepAlive; ///< How long the endpoint keeps an idle connection open.
    bool hasContentEncoding { false };
    bool isEventStream { false }; ///< By its content type.
    bool hasNoPath { false }; ///< Of another node: it reaches no endpoint, and has sent the request to none.
    std::vector<Http::header> forwardedHeaders; ///< Header lines forwarded to the caller unchanged.
};

/// Parses and writes header lines; supplied by the adapter for callers and endpoints.
struct wire_format {
    request_facts (*readRequest)(const std::vector<Http::header>& lines) { nullptr };
    /// @return all header lines of a request that is relayed through another node.
    /// @param endpoints to which the other node may send it.
    std::vector<Http::header> (*writeRelayed)(const request_facts& request, const attempt_facts& attempt, uint32_t endpoints) { nullptr };
    /// @return all header lines of an attempt, including the forwarded ones.
    std::vector<Http::header> (*writeAttempt)(const request_facts& request, const attempt_facts& attempt) { nullptr };
    response_facts (*readResponse)(const std::vector<Http::header>& lines) { nullptr };
    /// @return header lines of a response that the gateway itself generates.
    std::vector<Http::header> (*writeGatewayResponse)(const request_facts& request, std::optional<milliseconds> retryAfter) { nullptr };
    /// @return header lines of the response to a relayed request by a node that reaches no endpoint either.
    std::vector<Http::header> (*writeNoPathResponse)(const request_facts& request) { nullptr };
};

} // namespace Gateway
