#pragma once

/// @file
/// Between the peers' protobuf messages and the types of the duties.

#include "Configuration/VersionChain.h"
#include "Dispatch/Messages.h"
#include "Endpoints/EndpointTable.h"
#include "Membership/Members.h"
#include "Quota/Quota.h"
#include "Scaling/Demand.h"

namespace filbertreel::peer {
class configuration_changes;
class envelope;
class grant_report;
class load_digest;
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

/// @param action a probe or the reply to one.
/// @param message filled with it.
void encodeProbe(const send_probe& action, filbertreel::peer::envelope& message);
/// @param message an envelope with a probe or the reply to one.
/// @return what was heard.
probe_heard decodeProbe(const filbertreel::peer::envelope& message);
/// @param message an envelope with facts about members.
/// @return what was heard.
facts_heard decodeFacts(const filbertreel::peer::envelope& message);

/// @param changes links of the version chain.
/// @param record extended by them.
void encodeChanges(const std::vector<Configuration::change>& changes, filbertreel::peer::configuration_changes& record);
/// @param record what a peer sent.
/// @return the changes; what can't be read is left out.
Configuration::peer_changes decodeChanges(const filbertreel::peer::configuration_changes& record);
/// @param record what a peer sent.
/// @return the whole configuration, when it is there and can be read.
std::optional<Configuration::peer_snapshot> decodeSnapshot(const filbertreel::peer::configuration_changes& record);

/// @param reports load of endpoints.
/// @param record extended by them.
void encodeLoads(const std::vector<Endpoints::load_report>& reports, filbertreel::peer::load_digest& record);
/// @param record what a peer sent.
/// @return the reports.
std::vector<Endpoints::load_heard> decodeLoads(const filbertreel::peer::load_digest& record);

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

/// @param item what this node has granted.
/// @param record filled with it.
void encodeGrants(const Quota::node_report& item, filbertreel::peer::grant_report& record);
/// @param node who granted.
/// @param incarnation of the granting process.
/// @param record what it sent.
/// @return the report.
Quota::node_report decodeGrants(const Common::node_id& node, Common::incarnation_number incarnation, const filbertreel::peer::grant_report& record);

/// @param item what this node was asked for.
/// @param record filled with it.
void encodeDemand(const Scaling::node_demand& item, filbertreel::peer::grant_report& record);
/// @param node who was asked.
/// @param record what it sent.
/// @return its demand.
Scaling::node_demand decodeDemand(const Common::node_id& node, const filbertreel::peer::grant_report& record);

} // namespace Membership
