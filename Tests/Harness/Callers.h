#pragma once

/// @file
/// Callers as plain HTTP clients: they stream answers, resume streams by request id, and retry calls with the same
/// idempotency key.

#include "Harness/Cluster.h"

#include <functional>
#include <string>

namespace Harness {

/// Result of a streamed chat completion, as observed by the caller.
struct stream_result {
    std::string requestId;
    std::string text;
    uint64_t tokens { 0 }; ///< Number received.
    bool isAccepted { false }; ///< A first event with the request id arrived.
    bool isFinished { false }; ///< An event with a finish reason arrived.
    bool isOutOfOrder { false }; ///< A token position was repeated or skipped.
    int reconnects { 0 };
    int refusals { 0 }; ///< Answers with status 400 or higher.
    std::string error; ///< Error code from an error event in the stream; empty without one.
};

struct stream_request {
    std::string prompt;
    uint64_t tokens { 32 }; ///< Number to generate.
    int firstNode { 1 }; ///< Number of the node to call first, from 1.
    int timeLimitMilliseconds { 30000 };
    /// Called after each token with the number of tokens so far, so that a test can cause a failure at a known position.
    std::function<void(uint64_t)> onToken;
};

/// Streams a chat completion. When the connection ends early, reconnects to other nodes with the last event id until the
/// answer is finished, an error event arrives or the time limit passes.
stream_result streamChat(const cluster& target, const stream_request& request);

/// @return whether the answer is finished and has exactly the tokens that follow from the prompt, in order.
bool isWholeAnswer(const stream_result& result, const stream_request& request);

/// Result of a non-idempotent service call, as observed by the caller.
struct call_result {
    int status { 0 }; ///< HTTP status of the last attempt; 0 without a complete answer.
    std::string code; ///< Error code of the last attempt; empty without one.
    std::string run; ///< Whether the call was run, from the last error body, such as "not_run".
    bool isReplay { false };
    int attempts { 0 };
    bool isEveryAttemptNotRun { true }; ///< Every attempt was answered with "not_run".
};

/// Calls a non-idempotent service; retries at the next node with the same idempotency key until the outcome is final.
/// @param key the idempotency key.
/// @param firstNode number of the node to call first, from 1.
/// @param maxAttempts limit for the number of calls.
/// @param timeLimitMilliseconds of one call.
call_result releaseCrates(const cluster& target, const std::string& key, const std::string& body, int firstNode, int maxAttempts, int timeLimitMilliseconds = 3000);

} // namespace Harness
