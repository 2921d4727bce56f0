#pragma once

/// @file
/// Formats responses to callers: server-sent events and complete JSON bodies in the OpenAI-compatible format.

#include "Dispatch/Messages.h"

#include <string>

namespace Entry {

/// @param action the start of a stream.
/// @return an event with an id but no data. The id lets a caller that loses the connection before the first token resume.
std::string formatStreamHead(const Dispatch::send_stream_head& action);

/// @param action consecutive tokens.
/// @return one event per token; its id is "<request id>:<token position>".
std::string formatTokens(const Dispatch::send_tokens& action);

/// @param action the end of a stream.
/// @return the event with the finish reason and the token count, then the "[DONE]" event.
std::string formatStreamEnd(const Dispatch::send_stream_end& action);

/// @param action a failure after a stream has started, when the HTTP status can no longer report it.
/// @return an event of type "error" with the failure as JSON.
std::string formatStreamFailure(const Dispatch::send_stream_failure& action);

/// @param action the complete result of a request that isn't streamed.
/// @return the JSON body of the response.
std::string formatCompletion(const Dispatch::send_completion& action);

} // namespace Entry
