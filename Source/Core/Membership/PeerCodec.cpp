#include "Membership/PeerCodec.h"

#include "Protocol/peer.pb.h"

#include <algorithm>

namespace Membership {

void encodeMember(const member& item, filbertreel::peer::member_record& record)
{
    record.set_node(item.id.value);
    record.set_peer_address(item.peerAddress);
    record.set_http_address(item.httpAddress);
    record.set_zone(item.zone.value);
    record.set_region(item.region.value);
    record.set_incarnation(item.incarnation.value);
    record.set_status(static_cast<uint32_t>(item.status));
}

member decodeMember(const filbertreel::peer::member_record& record)
{
    constexpr auto highestStatus = static_cast<uint32_t>(member_status::Dead);
    member item;
    item.id = { record.node() };
    item.peerAddress = record.peer_address();
    item.httpAddress = record.http_address();
    item.zone = { record.zone() };
    item.region = { record.region() };
    item.incarnation = { record.incarnation() };
    item.status = static_cast<member_status>(std::min(record.status(), highestStatus));
    return item;
}

void encodeTransfer(const Dispatch::request_transfer& item, filbertreel::peer::request_handover& record)
{
    record.set_request(item.request.value);
    record.set_account(item.account.value);
    record.set_class_name(item.work.value);
    record.set_body_json(item.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    for (const std::string& text : item.tokens)
        record.add_tokens(text);
    record.set_is_streamed(item.isStreamed);
}

Dispatch::request_transfer decodeTransfer(const filbertreel::peer::request_handover& record)
{
    Dispatch::request_transfer item;
    item.request = { record.request() };
    item.account = { record.account() };
    item.work = { record.class_name() };
    item.body = nlohmann::json::parse(record.body_json(), nullptr, false);
    item.tokens.assign(record.tokens().begin(), record.tokens().end());
    item.isStreamed = record.is_streamed();
    return item;
}

void encodeEvidence(const Rollout::tell_evidence& item, filbertreel::peer::rollout_evidence& record)
{
    record.set_service(item.key.service);
    record.set_version(item.key.version.value);
    for (const auto& [work, counts] : item.counts) {
        auto* row = record.add_classes();
        row->set_class_name(work.value);
        row->set_fresh_begun(counts.fresh.begun);
        row->set_fresh_ended(counts.fresh.ended);
        row->set_fresh_failed(counts.fresh.failed);
        row->set_fresh_late(counts.fresh.late);
        row->set_previous_begun(counts.previous.begun);
        row->set_previous_ended(counts.previous.ended);
        row->set_previous_failed(counts.previous.failed);
        row->set_previous_late(counts.previous.late);
    }
}

Rollout::peer_evidence decodeEvidence(const Common::node_id& node, const filbertreel::peer::rollout_evidence& record)
{
    Rollout::peer_evidence item { node, { record.service(), { record.version() } }, {} };
    for (const auto& row : record.classes()) {
        Rollout::comparison& counts = item.counts[{ row.class_name() }];
        counts.fresh = { row.fresh_begun(), row.fresh_ended(), row.fresh_failed(), row.fresh_late() };
        counts.previous = { row.previous_begun(), row.previous_ended(), row.previous_failed(), row.previous_late() };
    }
    return item;
}

} // namespace Membership
