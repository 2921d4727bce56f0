#pragma once

/// @file
/// Callers as plain HTTP clients: they stream, come back by request id, and repeat calls with the same key.

#include "Harness/Cluster.h"

#include <functional>
#include <string>

namespace Harness {

/// What a caller of model work saw.
struct stream_result {
    std::string requestId;
    std::string text;
    uint64_t tokens { 0 };
    bool isAccepted { false }; ///< The head of the answer arrived.
    bool isFinished { false }; ///< The end of the answer arrived.
    bool isOutOfOrder { false }; ///< A position came twice or was left out.
    int reconnects { 0 };
    int refusals { 0 };
    std::string error; ///< Code of a failure after acceptance.
};

struct stream_request {
    std::string prompt;
    uint64_t tokens { 32 };
    int firstNode { 1 };
    int timeLimitMilliseconds { 30000 };
    /// Called after each token with the tokens so far, so that a test can cause a failure at a known point.
    std::function<void(uint64_t)> onToken;
};

/// Streams a chat completion; comes back at other nodes by the last event id when the connection ends early.
stream_result streamChat(const cluster& target, const stream_request& request);

/// @return whether the tokens are those of the prompt, whole and in order.
bool isWholeAnswer(const stream_result& result, const stream_request& request);

/// What a caller of a non-idempotent call knows at the end.
struct call_result {
    int status { 0 };
    std::string code; ///< Of the last failure.
    std::string run; ///< What the system said of the call in its last answer.
    bool isReplay { false };
    int tries { 0 };
    bool isEveryTryNotRun { true }; ///< No try was answered otherwise or lost.
};

/// Calls a non-idempotent service; repeats at the next node with the same key until an outcome is known.
/// @param firstNode where it starts.
/// @param maxTries the most tries.
call_result releaseCrates(const cluster& target, const std::string& key, const std::string& body, int firstNode, int maxTries, int timeLimitMilliseconds = 3000);

} // namespace Harness
