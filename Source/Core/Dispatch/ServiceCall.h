#pragma once

/// @file
/// Calls of plain services. A call that is not idempotent is recorded before it is sent, and sent at most once.

#include "Dispatch/Dispatcher.h"

namespace Dispatch {

/// Sends an idempotent call, or claims one that is not.
void beginServiceCall(step_context& context, request_entry& request);
/// Answers the caller and stores the outcome.
void serviceAttemptEnded(step_context& context, request_entry& request, const attempt_ended& message);
/// Goes on after a reply of the table service.
void recordReplied(step_context& context, request_entry& request, const record_reply& message);
/// Stores outcomes that could not be stored and settles refused claims.
void tickServiceCall(step_context& context, request_entry& request);

} // namespace Dispatch
