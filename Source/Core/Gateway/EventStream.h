#pragma once

/// @file
/// Splits a byte stream into server-sent events, so that another endpoint can continue the stream without missing or
/// duplicate events.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// Position in a stream of events.
struct event_reader {
    std::string partial; ///< Bytes of an event that is not complete yet.
    std::optional<uint64_t> lastId; ///< Id of the last complete event that was forwarded.
    std::optional<uint64_t> skipUpTo; ///< After a resumption: the caller already has the events up to this id.
    uint64_t eventCount { 0 }; ///< Forwarded events.
};

/// @param reader changed in place.
/// @param bytes that have arrived; they may end anywhere within an event.
/// @return the bytes of all complete events that the caller does not have yet.
std::string extractEvents(event_reader& reader, std::string_view bytes);

/// Prepares for the response of another endpoint, which continues after the last complete event.
void beginResumption(event_reader& reader);

} // namespace Gateway
