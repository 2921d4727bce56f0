#pragma once

/// @file
/// Model work: streams of tokens that survive the loss of their engine, of their caller's connection and of this node.

#include "Dispatch/Dispatcher.h"

namespace Dispatch {

/// Accepts the request and begins its first attempt.
void beginModelWork(step_context& context, request_entry& request);
/// Takes the next tokens of the present attempt.
void takeTokens(step_context& context, request_entry& request, std::vector<std::string>&& texts);
/// Finishes the request, or goes on at another endpoint.
void modelAttemptEnded(step_context& context, request_entry& request, const attempt_ended& message);
/// Counts written bytes, slows the engine down for a slow caller, notices a caller that is gone.
void callerWritten(step_context& context, request_entry& request, const caller_written& message);
/// Gives a caller that came back the tokens it does not have.
void resumeCaller(step_context& context, request_entry& request, const caller_resume& message);
/// Watches time limits and begins parked requests.
void tickModelWork(step_context& context, request_entry& request);
/// Offers a request to a peer because this node leaves.
void offerTransfer(step_context& context, request_entry& request);
/// Takes a request over from a leaving peer.
void takeTransfer(step_context& context, transfer_offered&& message);
/// A peer has the request: send its caller there and end it here.
void finishTransfer(step_context& context, request_entry& request, const std::string& httpAddress);

} // namespace Dispatch
