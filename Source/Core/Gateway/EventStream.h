#pragma once

/// @file
/// Splits a byte stream into server-sent events, so that another endpoint can continue the stream without missing or
/// duplicate events.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// How much of a stream the caller has, over all attempts.
struct stream_position {
    std::optional<uint64_t> lastId; ///< Id of the last complete event that was forwarded.
    uint64_t eventCount { 0 }; ///< Forwarded events.
    bool hasUnnumberedEvents { false }; ///< Data was forwarded without an id, so the position can't be told to an endpoint.
};

/// Reads the events of one attempt's response. Every attempt has a reader of its own, as the bytes of an event that one
/// endpoint has left unfinished must not be joined with those of another.
struct event_reader {
    std::string partial; ///< Bytes of an event that is not complete yet.
    std::optional<uint64_t> skipUpTo; ///< The caller already has the events up to this id.
    bool isContinuation { false }; ///< The caller already has events of another attempt.
    size_t searched { 0 }; ///< Bytes of `partial` in which no event ends.
    size_t eventCount { 0 }; ///< Events read, including those that the caller already has.
    bool isInvalid { false }; ///< What followed those events belongs to no stream, or can't be placed in it.
};

/// @param position of the caller in the stream.
/// @return a reader for an attempt that continues there.
event_reader makeEventReader(const stream_position& position);

/// @param reader of the attempt; changed in place.
/// @param position advanced by the returned events.
/// @param bytes that have arrived; they may end anywhere within an event.
/// @return the bytes of all complete events that the caller does not have yet, up to the first invalid one.
std::string extractEvents(event_reader& reader, stream_position& position, std::string_view bytes);

} // namespace Gateway
