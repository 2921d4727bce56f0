#include "Membership/PeerCodec.h"

#include "Common/Json.h"
#include "Protocol/peer.pb.h"

#include <algorithm>

#include <cmath>

namespace Membership {

namespace {

    using encoded_histogram = google::protobuf::RepeatedField<uint64_t>;

    void encodeHistogram(const Rollout::latency_histogram& counts, encoded_histogram& encoded)
    {
        const auto last = std::find_if(counts.rbegin(), counts.rend(), [](uint64_t count) { return count > 0; });
        encoded.Assign(counts.begin(), last.base());
    }

    Rollout::latency_histogram decodeHistogram(const encoded_histogram& encoded)
    {
        Rollout::latency_histogram counts {};
        std::copy_n(encoded.begin(), std::min(static_cast<size_t>(encoded.size()), counts.size()), counts.begin());
        return counts;
    }

} // namespace

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

void encodeProbe(const send_probe& action, filbertreel::peer::envelope& message)
{
    const auto fill = [&action](auto* body) {
        body->set_sequence(action.sequence);
        body->set_membership_digest(action.digest);
        body->set_configuration_version(action.configuration.value);
    };
    if (action.isReply)
        fill(message.mutable_probe_reply());
    else
        fill(message.mutable_probe());
}

probe_received decodeProbe(const filbertreel::peer::envelope& message)
{
    probe_received received;
    received.from = { message.sender() };
    received.fromAddress = message.sender_address();
    received.incarnation = { message.incarnation() };
    received.isReply = message.has_probe_reply();
    const auto fill = [&received](const auto& body) {
        received.sequence = body.sequence();
        received.digest = body.membership_digest();
        received.configuration = { body.configuration_version() };
    };
    if (received.isReply)
        fill(message.probe_reply());
    else
        fill(message.probe());
    return received;
}

member_records_received decodeFacts(const filbertreel::peer::envelope& message)
{
    member_records_received received { { message.sender() }, {} };
    for (const auto& record : message.member_facts().members())
        received.members.push_back(decodeMember(record));
    return received;
}

void encodeChanges(const std::vector<Configuration::change>& changes, filbertreel::peer::configuration_changes& record)
{
    for (const Configuration::change& item : changes) {
        auto* added = record.add_changes();
        added->set_version(item.version.value);
        added->set_change_json(encodeChange(item));
    }
}

Configuration::peer_changes decodeChanges(const filbertreel::peer::configuration_changes& record)
{
    Configuration::peer_changes received;
    for (const auto& item : record.changes()) {
        auto change = Configuration::decodeChange(item.change_json());
        if (change)
            received.changes.push_back(std::move(*change));
    }
    return received;
}

std::optional<Configuration::peer_snapshot> decodeSnapshot(const filbertreel::peer::configuration_changes& record)
{
    if (record.snapshot_json().empty())
        return std::nullopt;
    auto state = Configuration::parseConfiguration(Common::parseJson(record.snapshot_json()));
    if (!state)
        return std::nullopt;
    return Configuration::peer_snapshot { std::move(*state) };
}

void encodeLoads(const std::vector<Endpoints::load_report>& reports, filbertreel::peer::load_digest& record)
{
    for (const Endpoints::load_report& report : reports) {
        auto* load = record.add_loads();
        load->set_endpoint(report.id.value);
        load->set_running(report.running);
        load->set_waiting(report.waiting);
    }
}

std::vector<Endpoints::load_received> decodeLoads(const filbertreel::peer::load_digest& record)
{
    std::vector<Endpoints::load_received> received;
    received.reserve(static_cast<size_t>(record.loads_size()));
    for (const auto& load : record.loads())
        received.push_back({ { { load.endpoint() }, load.running(), load.waiting(), false } });
    return received;
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
    item.body = Common::parseJson(record.body_json());
    item.tokens.assign(record.tokens().begin(), record.tokens().end());
    item.isStreamed = record.is_streamed();
    return item;
}

void encodeEvidence(const Rollout::broadcast_evidence& item, filbertreel::peer::rollout_evidence& record)
{
    record.set_service(item.key.service);
    record.set_version(item.key.version.value);
    for (const auto& [work, counts] : item.counts) {
        auto* row = record.add_classes();
        row->set_class_name(work.value);
        row->set_fresh_begun(counts.candidate.begun);
        row->set_fresh_ended(counts.candidate.ended);
        row->set_fresh_failed(counts.candidate.failed);
        row->set_fresh_late(counts.candidate.late);
        row->set_previous_begun(counts.previous.begun);
        row->set_previous_ended(counts.previous.ended);
        row->set_previous_failed(counts.previous.failed);
        row->set_previous_late(counts.previous.late);
        encodeHistogram(counts.candidate.latencies.answered, *row->mutable_fresh_answered());
        encodeHistogram(counts.candidate.latencies.unanswered, *row->mutable_fresh_unanswered());
        encodeHistogram(counts.candidate.latencies.waiting, *row->mutable_fresh_waiting());
        encodeHistogram(counts.previous.latencies.answered, *row->mutable_previous_answered());
        encodeHistogram(counts.previous.latencies.unanswered, *row->mutable_previous_unanswered());
        encodeHistogram(counts.previous.latencies.waiting, *row->mutable_previous_waiting());
    }
}

Rollout::peer_evidence decodeEvidence(const Common::node_id& node, const filbertreel::peer::rollout_evidence& record)
{
    Rollout::peer_evidence item { node, { record.service(), { record.version() } }, {} };
    for (const auto& row : record.classes()) {
        Rollout::comparison& counts = item.counts[{ row.class_name() }];
        const Rollout::latency_counts fresh { decodeHistogram(row.fresh_answered()), decodeHistogram(row.fresh_unanswered()), decodeHistogram(row.fresh_waiting()) };
        const Rollout::latency_counts previous { decodeHistogram(row.previous_answered()), decodeHistogram(row.previous_unanswered()), decodeHistogram(row.previous_waiting()) };
        counts.candidate = { row.fresh_begun(), row.fresh_ended(), row.fresh_failed(), row.fresh_late(), fresh };
        counts.previous = { row.previous_begun(), row.previous_ended(), row.previous_failed(), row.previous_late(), previous };
    }
    return item;
}

void encodeTableChanges(const Store::relayed_changes& item, filbertreel::peer::table_changes& record)
{
    record.set_table(item.table);
    record.set_era(item.era.value);
    record.set_after_version(item.after.value);
    record.set_newest_version(item.newest.value);
    record.set_confirmed_at_ms(item.confirmedAt.value);
    record.set_returned_at_ms(item.returnedAt.value);
    for (const Store::row& row : item.rows) {
        auto* written = record.add_rows();
        written->set_key(row.name.key);
        written->set_value(row.value);
        written->set_version(row.version.value);
        written->set_is_removed(row.isRemoved);
    }
    if (item.compressedRows.empty())
        return;
    record.set_after_version(item.newest.value);
    record.set_compressed_after_version(item.after.value);
    for (const Store::compressed_row& row : item.compressedRows) {
        auto* written = record.add_compressed_rows();
        written->set_key(row.item.name.key);
        written->set_compressed_value(row.bytes);
        written->set_version(row.item.version.value);
        written->set_base_version(row.base.value);
    }
}

Store::relayed_changes decodeTableChanges(const filbertreel::peer::table_changes& record)
{
    Store::relayed_changes item;
    item.table = record.table();
    item.era = { record.era() };
    item.after = { record.after_version() };
    item.newest = { record.newest_version() };
    item.confirmedAt = { record.confirmed_at_ms() };
    item.returnedAt = { record.returned_at_ms() };
    for (const auto& row : record.rows())
        item.rows.push_back({ { record.table(), "", row.key() }, row.value(), { row.version() }, row.is_removed() });
    for (const auto& row : record.compressed_rows()) {
        item.after = { record.compressed_after_version() };
        item.compressedRows.push_back({ { { record.table(), "", row.key() }, "", { row.version() }, false }, { row.base_version() }, row.compressed_value() });
    }
    return item;
}

void encodeStateQuery(const Store::state_query& item, filbertreel::peer::table_state_query& record)
{
    record.set_table(item.table);
    record.set_era(item.era.value);
    record.set_after_version(item.after.value);
    record.set_confirmed_at_ms(item.confirmedAt.value);
}

Store::state_query decodeStateQuery(const filbertreel::peer::table_state_query& record)
{
    return { record.table(), { record.era() }, { record.after_version() }, { record.confirmed_at_ms() } };
}

void encodeTableState(const Store::table_state& item, filbertreel::peer::table_state& record)
{
    encodeTableChanges(item.changes, *record.mutable_changes());
    for (const std::string& key : item.keptKeys)
        record.add_kept_keys(key);
}

Store::table_state decodeTableState(const filbertreel::peer::table_state& record)
{
    return { decodeTableChanges(record.changes()), { record.kept_keys().begin(), record.kept_keys().end() } };
}

void encodeGrants(const Quota::node_report& item, filbertreel::peer::grant_report& record)
{
    record.set_is_leasing(item.isLeasing);
    for (const Quota::granted_total& account : item.accounts) {
        auto* written = record.add_accounts();
        written->set_account(account.account.value);
        written->set_total(account.total);
        written->set_demand_per_second(account.demandPerSecond);
    }
}

Quota::node_report decodeGrants(const Common::node_id& node, Common::incarnation_number incarnation, const filbertreel::peer::grant_report& record)
{
    Quota::node_report report { node, incarnation, {}, record.is_leasing() };
    for (const auto& account : record.accounts())
        report.accounts.push_back({ { account.account() }, account.total(), account.demand_per_second() });
    return report;
}

void encodeQuarantineStatement(const Quarantine::quarantine_statement& item, filbertreel::peer::quarantine_statement& record)
{
    record.set_kind(static_cast<uint32_t>(item.kind));
    record.set_fingerprint(item.subject.value);
    record.set_endpoint(item.crashed.endpoint.value);
    record.set_started_ms(item.crashed.started.value);
    record.set_age_ms(static_cast<uint32_t>(item.age.count()));
    record.set_trials(item.trials);
    record.set_service(item.service.value);
    record.set_exposure_ms(static_cast<uint32_t>(item.exposure.count()));
}

std::optional<Quarantine::quarantine_statement> decodeQuarantineStatement(const filbertreel::peer::quarantine_statement& record)
{
    const auto kind = static_cast<Quarantine::statement_kind>(record.kind());
    if (kind != Quarantine::statement_kind::Crash && kind != Quarantine::statement_kind::Sound && kind != Quarantine::statement_kind::Quarantined)
        return {};
    Quarantine::quarantine_statement item { kind, { record.fingerprint() } };
    item.crashed = { { record.endpoint() }, { record.started_ms() } };
    item.age = Quarantine::milliseconds(record.age_ms());
    item.trials = record.trials();
    item.service = { record.service() };
    item.exposure = Quarantine::milliseconds(record.exposure_ms());
    return item;
}

namespace {

    /// Kinds of endpoint_limit records.
    constexpr uint32_t knownLimitKind = 1;
    constexpr uint32_t tokenRequestKind = 2;
    constexpr uint32_t tokenGrantKind = 3;

    void encodeKnown(const EndpointLimits::limit_statement& known, uint32_t kind, filbertreel::peer::endpoint_limit& record)
    {
        record.set_kind(kind);
        record.set_endpoint(known.start.endpoint.value);
        record.set_started_ms(known.start.started.value);
        record.set_per_second(known.perSecond);
        record.set_age_ms(static_cast<uint32_t>(known.age.count()));
    }

    void encodeLimit(const EndpointLimits::limit_statement& item, filbertreel::peer::endpoint_limit& record)
    {
        encodeKnown(item, knownLimitKind, record);
    }

    void encodeLimit(const EndpointLimits::token_request& item, filbertreel::peer::endpoint_limit& record)
    {
        encodeKnown(item.known, tokenRequestKind, record);
        record.set_tokens(item.wanted);
    }

    void encodeLimit(const EndpointLimits::token_grant& item, filbertreel::peer::endpoint_limit& record)
    {
        encodeKnown(item.known, tokenGrantKind, record);
        record.set_tokens(item.count);
        record.set_ask_again_ms(static_cast<uint32_t>(item.askAgainIn.count()));
    }

} // namespace

void encodeEndpointLimit(const EndpointLimits::limit_message& item, filbertreel::peer::endpoint_limit& record)
{
    std::visit([&record](const auto& message) { encodeLimit(message, record); }, item);
}

std::optional<EndpointLimits::limit_message> decodeEndpointLimit(const filbertreel::peer::endpoint_limit& record)
{
    using EndpointLimits::milliseconds;
    if (!std::isfinite(record.per_second()) || record.per_second() < 0)
        return {};
    const EndpointLimits::limit_statement known { { { record.endpoint() }, { record.started_ms() } }, record.per_second(), milliseconds(record.age_ms()) };
    switch (record.kind()) {
    case knownLimitKind:
        return known;
    case tokenRequestKind:
        return EndpointLimits::token_request { known, record.tokens() };
    case tokenGrantKind:
        return EndpointLimits::token_grant { known, record.tokens(), milliseconds(record.ask_again_ms()) };
    default:
        return {};
    }
}

void encodeDemand(const Scaling::node_demand& item, filbertreel::peer::grant_report& record)
{
    record.set_zone(item.zone.value);
    record.set_interval_ms(static_cast<uint32_t>(item.interval.count()));
    for (const auto& [service, engineMs] : item.engineMs) {
        auto* written = record.add_demand();
        written->set_service(service.value);
        written->set_engine_ms(engineMs);
    }
}

Scaling::node_demand decodeDemand(const Common::node_id& node, const filbertreel::peer::grant_report& record)
{
    Scaling::node_demand demand;
    demand.node = node;
    demand.zone = { record.zone() };
    demand.interval = Scaling::milliseconds(record.interval_ms());
    for (const auto& item : record.demand())
        demand.engineMs[{ item.service() }] = item.engine_ms();
    return demand;
}

} // namespace Membership
