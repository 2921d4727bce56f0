#pragma once

/// @file
/// The bytes of answers: server-sent events and whole completions in the OpenAI-compatible form.

#include "Dispatch/Messages.h"

#include <string>

namespace Entry {

/// @param action the head of a stream.
/// @return an event without data: its id lets a caller come back even before the first token.
std::string formatStreamHead(const Dispatch::send_stream_head& action);

/// @param action tokens in order.
/// @return one event a token; its id names the request and the token's position.
std::string formatTokens(const Dispatch::send_tokens& action);

/// @param action the end of a stream.
/// @return the last events.
std::string formatStreamEnd(const Dispatch::send_stream_end& action);

/// @param action a failure after the head of a stream.
/// @return an error event.
std::string formatStreamFailure(const Dispatch::send_stream_failure& action);

/// @param action a whole answer.
/// @return its JSON body.
std::string formatCompletion(const Dispatch::send_completion& action);

} // namespace Entry
