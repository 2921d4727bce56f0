#pragma once

/// @file
/// Between the peers' protobuf messages and the types of the duties.

#include "Dispatch/Messages.h"
#include "Membership/Members.h"

namespace filbertreel::peer {
class envelope;
class member_record;
class request_handover;
class rollout_evidence;
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

/// @param item this node's evidence on a rollout.
/// @param record filled with it.
void encodeEvidence(const Rollout::tell_evidence& item, filbertreel::peer::rollout_evidence& record);
/// @param node who counted.
/// @param record what it sent.
/// @return the evidence.
Rollout::peer_evidence decodeEvidence(const Common::node_id& node, const filbertreel::peer::rollout_evidence& record);

} // namespace Membership
