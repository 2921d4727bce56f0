#pragma once

/// @file
/// Model work: token streams that continue after the loss of their engine or of their caller's connection, and when
/// this node leaves.

#include "Dispatch/Dispatcher.h"

namespace Dispatch {

/// Sends the response head of a streamed answer and begins the first attempt.
void beginModelWork(step_context& context, request_entry& request);
/// Appends tokens of the current attempt to the answer and passes them on to the caller.
void appendTokens(step_context& context, request_entry& request, std::vector<std::string>&& texts);
/// Finishes the request, fails it, or continues it at another endpoint.
void handleModelAttemptEnd(step_context& context, request_entry& request, const attempt_ended& message);
/// Counts the written bytes and resumes a paused engine stream; starts the reconnect grace if the caller disconnected.
void handleCallerWritten(step_context& context, request_entry& request, const caller_progress& message);
/// Attaches a reconnected caller and sends it the tokens that it doesn't have.
void resumeCaller(step_context& context, request_entry& request, const caller_resume& message);
/// Checks the time limits of a request and begins the next attempt of a parked one.
void tickModelWork(step_context& context, request_entry& request);
/// Stops the request's attempt and offers the request to the peers because this node leaves.
void offerTransfer(step_context& context, request_entry& request);
/// Takes over a request from a leaving peer, unless this node is draining or doesn't know the class of work.
void receiveTransfer(step_context& context, transfer_offered&& message);
/// Redirects the caller to the peer that accepted the request and deletes the request here.
void finishTransfer(step_context& context, request_entry& request, const std::string& httpAddress);

} // namespace Dispatch
