#pragma once

/// @file
/// What the gateway needs to know of a request and of an answer that it passes on unread, and the functions that find
/// it in header lines. The names of the lines belong to the adapter that supplies these functions.

#include "Common/Ids.h"
#include "Http/Server.h"
#include "Scheduling/Work.h"

#include <optional>
#include <string>
#include <vector>

namespace Gateway {

using std::chrono::milliseconds;

/// What the gateway reads in a caller's request.
struct request_facts {
    std::string attemptId; ///< The caller's id of this try; each try has its own.
    std::string key; ///< Of a client account. A secret.
    std::optional<milliseconds> timeBudget; ///< How long the caller will wait from now on.
    std::optional<Scheduling::model_facts> model;
    std::vector<Http::header> passedOn; ///< Lines that go to the endpoint as they are.
};

/// What the gateway tells an endpoint beside the caller's own lines.
struct attempt_facts {
    milliseconds timeBudget { 0 };
    Common::endpoint_id endpoint; ///< The endpoint refuses a request meant for another.
    Common::account_id account; ///< Empty when the route needs no key.
    std::optional<uint32_t> urgency; ///< 0 is the most urgent, 9 the least.
    std::string resumeAfter; ///< Id of the last event that the caller has; empty for a whole answer.
};

/// What the gateway reads in an endpoint's answer.
struct answer_facts {
    std::string attemptId; ///< Whose answer it is.
    bool isSealed { false }; ///< Bears an endpoint's proof of origin.
    bool hasNotRun { false }; ///< The endpoint states that it did not run the request.
    std::optional<Scheduling::stated_load> load;
    std::optional<milliseconds> keepAlive; ///< How long the endpoint keeps an idle connection.
    bool hasContentEncoding { false };
    std::vector<Http::header> passedOn; ///< Lines that go to the caller as they are.
};

/// How requests and answers are written; supplied by the adapter to callers and endpoints.
struct wire_format {
    request_facts (*readRequest)(const std::vector<Http::header>& lines) { nullptr };
    /// Lines of an attempt, the caller's own included.
    std::vector<Http::header> (*writeAttempt)(const request_facts& request, const attempt_facts& attempt) { nullptr };
    answer_facts (*readAnswer)(const std::vector<Http::header>& lines) { nullptr };
    /// Lines of an answer of the gateway's own.
    std::vector<Http::header> (*writeOwnAnswer)(const request_facts& request, std::optional<milliseconds> retryAfter) { nullptr };
};

} // namespace Gateway
