#pragma once

/// @file
/// What follows the end of an attempt at an endpoint. Pure: no clock, no socket.

#include "Catalog/Catalog.h"

namespace Gateway {

/// How an attempt at an endpoint ended.
enum class attempt_end {
    NotSent, ///< Proven: no byte was written.
    NotRun, ///< The endpoint states that it did not run the request.
    Answered, ///< A whole answer that bears the endpoint's proof.
    Failed, ///< A whole answer that says the endpoint failed.
    Broken, ///< Bytes were written and no whole answer came: it may have run.
    TimedOut, ///< The same, because the time was up.
};

/// How far a request has come.
struct call_progress {
    bool mayRepeat { false };
    bool isResumable { false }; ///< A stream that may go on at another endpoint.
    bool hasHeadSent { false }; ///< The caller has the head of the answer.
    uint32_t endpointsRun { 0 }; ///< Endpoints that may have run the request.
    uint32_t maxEndpoints { 1 };
    uint32_t refusals { 0 }; ///< Endpoints that did not run it.
    bool hasTimeLeft { true }; ///< Enough for another attempt to be worth it.
};

enum class next_step {
    TryAnother, ///< At another endpoint, if the budget of repeats allows.
    TryAnotherFreely, ///< At another endpoint; the last one got nothing.
    GiveAnswer, ///< The endpoint's answer goes to the caller.
    Refuse, ///< Proven not run: the caller may come back.
    FailUnknown, ///< It may have run: 502.
    FailTimeout, ///< It may have run, and the time is up: 504.
    CutAnswer, ///< The answer has begun and can't be completed.
};

/// Endpoints that may refuse a request before the caller is refused.
constexpr uint32_t mostRefusals = 3;

/// @param progress how far the request has come, the ended attempt included.
/// @param end how the attempt ended.
/// @return what to do; where a repeat is not allowed by the budget, ask again with hasTimeLeft unset.
next_step decideNext(const call_progress& progress, attempt_end end);

/// @param end any end.
/// @return its stable name in logs and metrics.
const char* nameOf(attempt_end end);

} // namespace Gateway
