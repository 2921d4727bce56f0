#pragma once

/// @file
/// Between the peers' protobuf messages and the types of the duties.

#include "Dispatch/Messages.h"
#include "Membership/Members.h"

namespace filbertreel::peer {
class envelope;
class member_record;
class request_handover;
}

namespace Membership {

/// @param item a member.
/// @param record filled with it.
void encodeMember(const member& item, filbertreel::peer::member_record& record);
/// @param record what a peer sent.
/// @return the member.
member decodeMember(const filbertreel::peer::member_record& record);

/// @param item a request in flight.
/// @param record filled with it.
void encodeTransfer(const Dispatch::request_transfer& item, filbertreel::peer::request_handover& record);
/// @param record what a peer sent.
/// @return the request; its body is null when it can't be read.
Dispatch::request_transfer decodeTransfer(const filbertreel::peer::request_handover& record);

} // namespace Membership
