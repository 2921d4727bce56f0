#pragma once

/// @file
/// The stream of a model engine (OpenAI-compatible server-sent events): the only file that knows it.

#include <string>
#include <string_view>
#include <vector>

namespace Dispatch {

/// Reads one engine stream piece by piece.
struct engine_stream {
    std::string pending; ///< An event that has not arrived whole.
    std::string finishReason;
    bool isNonsense { false };
};

constexpr size_t longestEngineEvent = size_t { 1024 } * 1024;

/// @param stream what has been read so far; changed in place.
/// @param bytes the next bytes, cut anywhere.
/// @return the texts of the tokens that became complete.
std::vector<std::string> readEngineBytes(engine_stream& stream, std::string_view bytes);

} // namespace Dispatch
