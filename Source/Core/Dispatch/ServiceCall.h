#pragma once

/// @file
/// Calls of plain services. A call that isn't idempotent is claimed in the table service before it is sent, and is sent
/// at most once.

#include "Dispatch/Dispatcher.h"

namespace Dispatch {

/// Sends an idempotent call at once; writes the claim of any other call first.
void beginServiceCall(step_context& context, request_entry& request);
/// Answers the caller, or tries another endpoint if that is safe; stores the outcome of a claimed call.
void handleServiceAttemptEnd(step_context& context, request_entry& request, const attempt_ended& message);
/// Continues a call after a reply of the table service.
void handleRecordReply(step_context& context, request_entry& request, const record_reply& message);
/// Retries storing an outcome, and checks whether the claim of a refused call was written after all.
void tickServiceCall(step_context& context, request_entry& request);

} // namespace Dispatch
