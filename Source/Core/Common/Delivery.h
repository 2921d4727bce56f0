#pragma once

/// @file
/// Delivery of messages between duties. A message that doesn't fit into the receiver's ring is counted and logged by its type.

#include "Common/Ids.h"

#include <atomic>
#include <typeinfo>
#include <utility>

namespace Common {

/// Counts a message that a full ring has rejected, and logs the first one of each second.
/// @param message type of the message.
/// @param nextLog earliest time of the next log line for this type, in milliseconds of the monotonic clock.
void recordRejectedMessage(const std::type_info& message, std::atomic<int64_t>& nextLog);

/// Submits a message to a duty.
/// @param receiver a duty with `bool submit(message&&)`.
/// @param message the message.
template <typename duty, typename message_type>
void deliver(duty& receiver, message_type&& message)
{
    static std::atomic<int64_t> nextLog { 0 };
    if (!receiver.submit(std::forward<message_type>(message)))
        recordRejectedMessage(typeid(message_type), nextLog);
}

} // namespace Common
