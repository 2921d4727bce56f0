#pragma once

/// @file
/// Finds the events of a stream in its bytes, so that a stream can go on at another endpoint without a gap or a repeat.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// The events seen so far and the bytes of an event that is not complete yet.
struct event_reader {
    std::string partial;
    std::optional<uint64_t> lastId; ///< Of the last complete event that was passed on.
    std::optional<uint64_t> skipUpTo; ///< After a resumption: events up to this id are already with the caller.
    uint64_t events { 0 };
};

/// @param reader changed in place.
/// @param bytes what arrived.
/// @return the complete events that the caller does not have yet.
std::string takeEvents(event_reader& reader, std::string_view bytes);

/// Prepares for the answer of another endpoint that goes on behind the last complete event.
void beginResumption(event_reader& reader);

} // namespace Gateway
