#pragma once

/// @file
/// Decodes the answer stream of a model engine (OpenAI-compatible server-sent events). No other file depends on this
/// format.

#include <string>
#include <string_view>
#include <vector>

namespace Dispatch {

/// State of the incremental decoding of one engine stream.
struct engine_stream {
    std::string pending; ///< Bytes of an incomplete line.
    std::string finishReason; ///< Empty until the engine reports that it has finished.
    bool hasEnded { false }; ///< The engine has finished; what follows is not part of the stream.
    bool isMalformed { false }; ///< The stream doesn't follow the format; its answer must not count as finished.
};

/// A longer line makes the stream malformed; bounds the memory that one engine can occupy.
constexpr size_t maxEngineEventBytes = size_t { 1024 } * 1024;

/// @param stream decoding state; updated.
/// @param bytes the next bytes of the stream; may be split at any position.
/// @return the texts of the tokens that these bytes completed.
std::vector<std::string> readEngineBytes(engine_stream& stream, std::string_view bytes);

} // namespace Dispatch
