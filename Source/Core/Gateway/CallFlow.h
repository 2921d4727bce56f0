#pragma once

/// @file
/// Decides what to do after an attempt at an endpoint has ended. Reads no clock and no socket.

#include "Catalog/Catalog.h"

namespace Gateway {

/// How an attempt at an endpoint ended.
enum class attempt_end {
    NotSent, ///< Certain: no byte was written.
    NotRun, ///< The endpoint states that it did not run the request.
    Answered, ///< A complete response with the endpoint's proof of origin.
    Failed, ///< A complete response that reports a failure of the endpoint.
    Broken, ///< Bytes were written but no complete response came: the request may have run.
    TimedOut, ///< Like Broken, because the request's deadline has passed.
};

/// Progress of a request over all its attempts.
struct call_progress {
    bool mayRetry { false }; ///< The request may be sent again after an endpoint may have run it.
    bool isResumable { false }; ///< A stream that another endpoint can continue.
    bool hasHeadSent { false }; ///< The head of the response was sent to the caller.
    uint32_t endpointsRun { 0 }; ///< Endpoints that may have run the request.
    uint32_t maxEndpoints { 1 };
    uint32_t refusals { 0 }; ///< Endpoints that did not run it.
    bool hasTimeLeft { true }; ///< Enough for another attempt.
};

enum class next_step {
    Retry, ///< At another endpoint, if the retry budget allows.
    RetryUnbudgeted, ///< At another endpoint, outside the retry budget, as the last one received nothing.
    ForwardResponse, ///< Forward the endpoint's response to the caller.
    Refuse, ///< Certainly not run: 503, the caller may retry.
    FailUnknown, ///< It may have run: 502.
    FailTimeout, ///< It may have run, and the deadline has passed: 504.
    AbortResponse, ///< The response has begun and can't be completed: close the connection.
};

/// After this many endpoints did not run a request, no further one is tried.
constexpr uint32_t maxRefusals = 3;

/// @param progress including the ended attempt.
/// @param end how the attempt ended.
/// @return the next step. If it is Retry and the retry budget is exhausted, call again with hasTimeLeft unset.
next_step decideNext(const call_progress& progress, attempt_end end);

/// @return the name used in logs, metrics and error responses; must not change.
const char* nameOf(attempt_end end);

} // namespace Gateway
