#pragma once

/// @file
/// Conversion between the protobuf messages that peers exchange and the types of the duties.

#include "Configuration/VersionChain.h"
#include "Dispatch/Messages.h"
#include "EndpointLimits/SharedLimits.h"
#include "Endpoints/EndpointTable.h"
#include "Membership/Members.h"
#include "Quarantine/RequestQuarantine.h"
#include "Quota/Quota.h"
#include "Scaling/Demand.h"
#include "Store/TableState.h"

namespace filbertreel::peer {
class configuration_changes;
class envelope;
class grant_report;
class load_digest;
class member_record;
class request_handover;
class endpoint_limit;
class quarantine_statement;
class rollout_evidence;
class table_changes;
class table_state;
class table_state_query;
}

namespace Membership {

/// @param item a member.
/// @param record receives the encoded member.
void encodeMember(const member& item, filbertreel::peer::member_record& record);
/// @param record a member as received.
/// @return the member; a status unknown to this version counts as dead.
member decodeMember(const filbertreel::peer::member_record& record);

/// @param action a probe or a reply.
/// @param message receives its body; the envelope's sender is left as it is.
void encodeProbe(const send_probe& action, filbertreel::peer::envelope& message);
/// @param message an envelope with a probe or a reply.
/// @return the probe or reply, with its sender.
probe_received decodeProbe(const filbertreel::peer::envelope& message);
/// @param message an envelope with member records.
/// @return the records, with their sender.
member_records_received decodeFacts(const filbertreel::peer::envelope& message);

/// @param changes successive changes of the configuration.
/// @param record the changes are appended to it.
void encodeChanges(const std::vector<Configuration::change>& changes, filbertreel::peer::configuration_changes& record);
/// @param record changes as received.
/// @return the changes; those that can't be parsed are left out.
Configuration::peer_changes decodeChanges(const filbertreel::peer::configuration_changes& record);
/// @param record changes as received.
/// @return the snapshot of the whole configuration, or nothing if the message has none or it can't be parsed.
std::optional<Configuration::peer_snapshot> decodeSnapshot(const filbertreel::peer::configuration_changes& record);

/// @param reports load of endpoints.
/// @param record the reports are appended to it.
void encodeLoads(const std::vector<Endpoints::load_report>& reports, filbertreel::peer::load_digest& record);
/// @param record reports as received.
/// @return the reports.
std::vector<Endpoints::load_received> decodeLoads(const filbertreel::peer::load_digest& record);

/// @param item a request in progress.
/// @param record receives the encoded request.
void encodeTransfer(const Dispatch::request_transfer& item, filbertreel::peer::request_handover& record);
/// @param record a request as received.
/// @return the request; its body is a discarded JSON value if it can't be parsed.
Dispatch::request_transfer decodeTransfer(const filbertreel::peer::request_handover& record);

/// @param item this node's evidence on a rollout.
/// @param record receives the encoded evidence.
void encodeEvidence(const Rollout::broadcast_evidence& item, filbertreel::peer::rollout_evidence& record);
/// @param node the peer that counted.
/// @param record its evidence as received.
/// @return the evidence.
Rollout::peer_evidence decodeEvidence(const Common::node_id& node, const filbertreel::peer::rollout_evidence& record);

/// @param item changes of a table.
/// @param record receives the encoded changes.
void encodeTableChanges(const Store::relayed_changes& item, filbertreel::peer::table_changes& record);
/// @param record changes of a table as received.
/// @return the changes.
Store::relayed_changes decodeTableChanges(const filbertreel::peer::table_changes& record);

/// @param item a query for the state of a table.
/// @param record receives the encoded query.
void encodeStateQuery(const Store::state_query& item, filbertreel::peer::table_state_query& record);
/// @param record a query as received.
/// @return the query.
Store::state_query decodeStateQuery(const filbertreel::peer::table_state_query& record);

/// @param item the state of a table.
/// @param record receives the encoded state.
void encodeTableState(const Store::table_state& item, filbertreel::peer::table_state& record);
/// @param record a state as received.
/// @return the state.
Store::table_state decodeTableState(const filbertreel::peer::table_state& record);

/// @param item this node's grants to client accounts.
/// @param record the grants are appended to it.
void encodeGrants(const Quota::node_report& item, filbertreel::peer::grant_report& record);
/// @param node the peer that granted.
/// @param incarnation of the peer's process.
/// @param record its report as received.
/// @return the report.
Quota::node_report decodeGrants(const Common::node_id& node, Common::incarnation_number incarnation, const filbertreel::peer::grant_report& record);

/// @param item a statement about a fingerprint.
/// @param record receives the encoded statement.
void encodeEndpointLimit(const EndpointLimits::limit_message& item, filbertreel::peer::endpoint_limit& record);

/// @return the message; std::nullopt when its kind or limit is invalid.
std::optional<EndpointLimits::limit_message> decodeEndpointLimit(const filbertreel::peer::endpoint_limit& record);

void encodeQuarantineStatement(const Quarantine::quarantine_statement& item, filbertreel::peer::quarantine_statement& record);
/// @param record a statement as received.
/// @return the statement; empty if its kind is unknown.
std::optional<Quarantine::quarantine_statement> decodeQuarantineStatement(const filbertreel::peer::quarantine_statement& record);

/// @param item the demand that this node received.
/// @param record receives the encoded demand.
void encodeDemand(const Scaling::node_demand& item, filbertreel::peer::grant_report& record);
/// @param node the peer that received the demand.
/// @param record its report as received.
/// @return the demand.
Scaling::node_demand decodeDemand(const Common::node_id& node, const filbertreel::peer::grant_report& record);

} // namespace Membership
