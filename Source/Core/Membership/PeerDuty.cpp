#include "Membership/PeerDuty.h"

#include "Common/Compression.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Text.h"
#include "Endpoints/CloudCodec.h"
#include "Membership/LeaseCodec.h"
#include "Membership/PeerCodec.h"
#include "Membership/PeerSockets.h"
#include "Protocol/peer.pb.h"

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

namespace Membership {

namespace {

    using filbertreel::peer::envelope;

    constexpr size_t ringCapacity = 8192;
    constexpr std::chrono::milliseconds tickInterval { 200 };
    /// Number of peers that are asked whether they hold a request, in addition to the node that its id names.
    constexpr size_t holderCandidates = 8;
    /// Transfers are offered in turn to this many of the peers that rank highest for the request's id.
    constexpr size_t transferRanks = 3;
    constexpr size_t maxCatalogBytes = size_t { 64 } * 1024 * 1024;

} // namespace

struct peer_duty::implementation {
    peer_settings settings;
    peer_outlets outlets;
    membership_state state;
    peer_inbox inbox { ringCapacity };
    peer_sockets sockets;
    int wakeHandle { -1 };
    uint64_t offeredTransfers { 0 };
    uint64_t pullCount { 0 };
    std::set<Common::node_id> acceptsCompressed; ///< Peers whose last request for the catalog said so.
    std::pair<uint64_t, std::string> lastCompressed; ///< The catalog that was sent last, by version.
    std::atomic<bool> isStopping { false };

    void wake() const
    {
        const uint64_t one = 1;
        static_cast<void>(!write(wakeHandle, &one, sizeof(one)));
    }

    void send(const std::string& address, envelope& message)
    {
        message.set_sender(settings.self.id.value);
        message.set_sender_address(settings.self.peerAddress);
        message.set_incarnation(state.self.incarnation.value);
        sockets.send(address, message.SerializeAsString(), std::chrono::steady_clock::now());
    }

    void sendToLinks(envelope& message)
    {
        for (const auto& [id, link] : state.links) {
            const auto peer = state.members.find(id);
            if (peer != state.members.end())
                send(peer->second.peerAddress, message);
        }
    }

    void sendTo(const Common::node_id& id, envelope& message)
    {
        const auto peer = state.members.find(id);
        if (peer != state.members.end())
            send(peer->second.peerAddress, message);
    }

    void step(membership_message&& message)
    {
        const std::vector<membership_action> actions = stepMembership(state, std::move(message), std::chrono::steady_clock::now());
        for (const membership_action& action : actions)
            std::visit([this](const auto& item) { perform(item); }, action);
    }

    void perform(const send_probe& action)
    {
        envelope message;
        encodeProbe(action, message);
        send(action.address, message);
    }

    void perform(const send_facts& action)
    {
        envelope message;
        for (const member& item : action.members)
            encodeMember(item, *message.mutable_member_facts()->add_members());
        send(action.address, message);
    }

    void perform(const send_pull& action)
    {
        envelope message;
        message.mutable_member_pull();
        send(action.address, message);
    }

    void perform(const publish_members& action)
    {
        Common::setMetric("filbertreel_members_known", static_cast<double>(action.members.size() + 1));
        outlets.publishMembers(action.members);
    }

    void perform(const newer_configuration_seen& action)
    {
        outlets.sendToConfiguration(Configuration::peer_is_ahead { action.version });
    }

    void perform(const member_changed& action)
    {
        Common::logEvent(Common::log_level::Info, "member_changed", { { "member", action.item.id.value }, { "status", nameOf(action.item.status) }, { "incarnation", action.item.incarnation.value } });
    }

    // Messages from other duties.

    void handle(seeds_changed&& message)
    {
        for (const std::string& address : settings.seeds)
            message.peerAddresses.push_back(address);
        step(std::move(message));
    }

    void handle(configuration_changed&& message) { step(message); }

    void handle(leave_started&& message) { step(message); }

    void handle(push_changes&& message)
    {
        envelope outgoing;
        encodeChanges(message.changes, *outgoing.mutable_configuration_changes());
        // If a push is lost, the next probe shows the peer the higher version, and it requests the changes.
        for (const Common::node_id& id : choosePushLinks(settings.self.id, state.members))
            sendTo(id, outgoing);
    }

    void handle(pull_changes&& message)
    {
        envelope outgoing;
        outgoing.mutable_configuration_pull()->set_after_version(message.after.value);
        // Only one peer per pull, since each may reply with the whole configuration. The next pull asks the next peer.
        const auto links = chooseLinks(settings.self.id, state.members);
        if (!links.empty())
            sendTo(links[pullCount++ % links.size()], outgoing);
    }

    void handle(reply_changes&& message)
    {
        envelope outgoing;
        auto* changes = outgoing.mutable_configuration_changes();
        encodeChanges(message.reply.changes, *changes);
        if (message.reply.snapshot)
            changes->set_snapshot_json(toJson(*message.reply.snapshot).dump());
        sendTo(message.reply.peer, outgoing);
    }

    void handle(push_endpoint_leaving&& message)
    {
        envelope outgoing;
        outgoing.mutable_endpoint_leaving()->set_endpoint(message.endpoint.value);
        outgoing.mutable_endpoint_leaving()->set_started_ms(message.startedMs);
        sendToLinks(outgoing);
    }

    void handle(push_instances&& message)
    {
        envelope outgoing;
        outgoing.mutable_instances_seen()->set_list_json(Endpoints::encodeInstances(message.instances));
        sendToLinks(outgoing);
    }

    void handle(send_loads&& message)
    {
        envelope outgoing;
        encodeLoads(message.reports, *outgoing.mutable_load_digest());
        sendTo(message.peer, outgoing);
    }

    void handle(push_evidence&& message)
    {
        envelope outgoing;
        encodeEvidence(message.evidence, *outgoing.mutable_rollout_evidence());
        sendToAllAlive(outgoing);
    }

    void handle(push_bad_version&& message)
    {
        envelope outgoing;
        outgoing.mutable_rollout_latch()->set_service(message.latch.key.service);
        outgoing.mutable_rollout_latch()->set_version(message.latch.key.version.value);
        outgoing.mutable_rollout_latch()->set_cause(message.latch.cause);
        sendToLinks(outgoing);
    }

    void sendToAllAlive(envelope& message)
    {
        for (const auto& [id, item] : state.members) {
            if (item.status != member_status::Dead)
                send(item.peerAddress, message);
        }
    }

    void handle(push_grants&& message)
    {
        envelope outgoing;
        encodeGrants(message.report, *outgoing.mutable_grant_report());
        encodeDemand(message.demand, *outgoing.mutable_grant_report());
        sendToAllAlive(outgoing);
    }

    void handle(pull_catalog&& message)
    {
        envelope outgoing;
        outgoing.mutable_catalog_pull()->set_after_version(message.after);
        outgoing.mutable_catalog_pull()->set_accepts_compressed(true);
        const auto links = chooseLinks(settings.self.id, state.members);
        if (!links.empty())
            sendTo(links[pullCount++ % links.size()], outgoing);
    }

    void handle(reply_catalog&& message)
    {
        envelope outgoing;
        outgoing.mutable_catalog_text()->set_version(message.version);
        if (acceptsCompressed.contains(message.peer))
            outgoing.mutable_catalog_text()->set_compressed_text(compressedCatalog(message));
        else
            outgoing.mutable_catalog_text()->set_text(std::move(message.text));
        sendTo(message.peer, outgoing);
    }

    /// Several peers request a new version at about the same time.
    const std::string& compressedCatalog(const reply_catalog& message)
    {
        if (lastCompressed.first != message.version)
            lastCompressed = { message.version, Common::compress(message.text, {}) };
        return lastCompressed.second;
    }

    void handle(push_table_changes&& message)
    {
        envelope outgoing;
        for (const Store::relayed_changes& changes : message.tables)
            encodeTableChanges(changes, *outgoing.mutable_relayed_tables()->add_tables());
        for (const Common::node_id& id : message.receivers)
            sendTo(id, outgoing);
    }

    void handle(pull_table_state&& message)
    {
        envelope outgoing;
        encodeStateQuery(message.query, *outgoing.mutable_table_state_query());
        sendTo(message.peer, outgoing);
    }

    void handle(reply_table_state&& message)
    {
        envelope outgoing;
        encodeTableState(message.state, *outgoing.mutable_table_state());
        sendTo(message.peer, outgoing);
    }

    void handle(push_usage_counts&& message)
    {
        envelope outgoing;
        outgoing.mutable_usage_counts()->set_sequence(message.sequence);
        for (auto& [key, value] : message.rows) {
            auto* row = outgoing.mutable_usage_counts()->add_rows();
            row->set_key(std::move(key));
            row->set_value(std::move(value));
        }
        sendTo(message.receiver, outgoing);
    }

    void handle(confirm_usage_counts&& message)
    {
        envelope outgoing;
        outgoing.mutable_usage_counts_written()->set_sequence(message.sequence);
        sendTo(message.receiver, outgoing);
    }

    void handle(push_quarantine_statements&& message)
    {
        envelope forAll;
        std::map<Common::node_id, envelope> forOne;
        for (const Quarantine::outgoing_statement& item : message.items) {
            envelope& outgoing = item.receiver ? forOne[*item.receiver] : forAll;
            encodeQuarantineStatement(item.statement, *outgoing.mutable_quarantine_statements()->add_statements());
        }
        for (auto& [receiver, outgoing] : forOne)
            sendTo(receiver, outgoing);
        if (forAll.has_quarantine_statements())
            sendToAllAlive(forAll);
    }

    void handle(push_endpoint_limits&& message)
    {
        envelope forAll;
        std::map<Common::node_id, envelope> forOne;
        for (const EndpointLimits::outgoing_message& item : message.items) {
            envelope& outgoing = item.receiver ? forOne[*item.receiver] : forAll;
            encodeEndpointLimit(item.message, *outgoing.mutable_endpoint_limits()->add_items());
        }
        for (auto& [receiver, outgoing] : forOne)
            sendTo(receiver, outgoing);
        if (forAll.has_endpoint_limits())
            sendToAllAlive(forAll);
    }

    void handle(push_leases&& message)
    {
        std::map<Common::node_id, envelope> byReceiver;
        for (const Quota::outgoing_lease& item : message.items)
            encodeLease(item.message, *byReceiver[item.receiver].mutable_account_leases()->add_items());
        for (auto& [receiver, outgoing] : byReceiver)
            sendTo(receiver, outgoing);
    }

    void handle(offer_transfer&& message)
    {
        // A repeated offer of a request goes to another peer than the previous one.
        const size_t rank = offeredTransfers++ % transferRanks;
        Common::node_id peer = choosePeer(state.members, settings.self.id, message.item.request.value, rank);
        if (peer.value.empty())
            peer = choosePeer(state.members, settings.self.id, message.item.request.value, 0);
        envelope outgoing;
        encodeTransfer(message.item, *outgoing.mutable_request_handover());
        sendTo(peer, outgoing);
    }

    void handle(confirm_transfer&& message)
    {
        envelope outgoing;
        outgoing.mutable_handover_reply()->set_request(message.request.value);
        outgoing.mutable_handover_reply()->set_http_address(settings.self.httpAddress);
        sendTo(message.peer, outgoing);
    }

    void handle(find_holder&& message)
    {
        envelope outgoing;
        outgoing.mutable_request_query()->set_request(message.request.value);
        const Common::node_id originNode { Common::split(message.request.value, '.').front() };
        sendTo(originNode, outgoing);
        for (size_t rank = 0; rank < holderCandidates; ++rank) {
            const Common::node_id peer = choosePeer(state.members, settings.self.id, message.request.value, rank);
            if (!peer.value.empty() && peer != originNode)
                sendTo(peer, outgoing);
        }
    }

    void handle(confirm_holder&& message)
    {
        envelope outgoing;
        outgoing.mutable_request_location()->set_request(message.request.value);
        outgoing.mutable_request_location()->set_http_address(settings.self.httpAddress);
        sendTo(message.peer, outgoing);
    }

    // Messages from peers.

    void handleChanges(const filbertreel::peer::configuration_changes& body)
    {
        if (auto snapshot = decodeSnapshot(body))
            outlets.sendToConfiguration(std::move(*snapshot));
        Configuration::peer_changes received = decodeChanges(body);
        if (!received.changes.empty())
            outlets.sendToConfiguration(std::move(received));
    }

    void handleLoads(const filbertreel::peer::load_digest& body)
    {
        for (Endpoints::load_received& received : decodeLoads(body))
            outlets.sendToEndpoints(std::move(received));
    }

    void handleInstances(const filbertreel::peer::instances_seen& body)
    {
        auto instances = Endpoints::parseInstances(body.list_json());
        if (instances)
            outlets.sendToEndpoints(Endpoints::instances_received { std::move(*instances) });
    }

    void handleTableChanges(const Common::node_id& sender, const filbertreel::peer::relayed_tables& body)
    {
        std::vector<Store::relayed_changes> tables;
        for (const auto& changes : body.tables())
            tables.push_back(decodeTableChanges(changes));
        if (outlets.tableChangesReceived)
            outlets.tableChangesReceived(sender, std::move(tables));
    }

    void handleCatalogText(const filbertreel::peer::catalog_text& body)
    {
        if (body.compressed_text().empty())
            return outlets.catalogReceived(body.version(), std::string(body.text()));
        auto text = Common::decompress(body.compressed_text(), {}, maxCatalogBytes);
        if (text)
            outlets.catalogReceived(body.version(), std::move(*text));
        else
            Common::countMetric("filbertreel_peer_messages_unreadable_total");
    }

    void handleUsageCounts(const Common::node_id& sender, const filbertreel::peer::usage_counts& body)
    {
        std::vector<std::pair<std::string, std::string>> rows;
        for (const auto& row : body.rows())
            rows.emplace_back(row.key(), row.value());
        if (outlets.usageCountsReceived)
            outlets.usageCountsReceived(sender, body.sequence(), std::move(rows));
    }

    void handleQuarantineStatements(const Common::node_id& sender, const filbertreel::peer::quarantine_statements& body)
    {
        for (const auto& record : body.statements()) {
            const std::optional<Quarantine::quarantine_statement> statement = decodeQuarantineStatement(record);
            if (statement && outlets.quarantineStatementReceived)
                outlets.quarantineStatementReceived(sender, *statement);
        }
    }

    void handleEndpointLimits(const Common::node_id& sender, const filbertreel::peer::endpoint_limits& body)
    {
        for (const auto& record : body.items()) {
            std::optional<EndpointLimits::limit_message> item = decodeEndpointLimit(record);
            if (item && outlets.endpointLimitReceived)
                outlets.endpointLimitReceived(sender, std::move(*item));
        }
    }

    void handleLeases(const Common::node_id& sender, const filbertreel::peer::account_leases& body)
    {
        for (const auto& record : body.items()) {
            std::optional<Quota::lease_message> item = decodeLease(record);
            if (item && outlets.leaseReceived)
                outlets.leaseReceived(sender, std::move(*item));
        }
    }

    void handleEnvelope(const envelope& message)
    {
        const Common::node_id sender { message.sender() };
        switch (message.body_case()) {
        case envelope::kProbe:
        case envelope::kProbeReply:
            return step(decodeProbe(message));
        case envelope::kMemberFacts:
            return step(decodeFacts(message));
        case envelope::kMemberPull:
            return step(pull_requested { message.sender_address() });
        case envelope::kConfigurationChanges:
            return handleChanges(message.configuration_changes());
        case envelope::kConfigurationPull:
            return outlets.sendToConfiguration(Configuration::peer_pull { sender, { message.configuration_pull().after_version() } });
        case envelope::kEndpointLeaving:
            if (message.endpoint_leaving().started_ms() != 0)
                return outlets.startLeavingReceived({ message.endpoint_leaving().endpoint() }, message.endpoint_leaving().started_ms());
            return outlets.sendToEndpoints(Endpoints::leaving_notice { { message.endpoint_leaving().endpoint() }, Endpoints::leaving_source::Peer });
        case envelope::kLoadDigest:
            return handleLoads(message.load_digest());
        case envelope::kRolloutEvidence:
            return outlets.sendToRollout(decodeEvidence(sender, message.rollout_evidence()));
        case envelope::kRolloutLatch:
            return outlets.sendToRollout(Rollout::peer_latch { { message.rollout_latch().service(), { message.rollout_latch().version() } }, message.rollout_latch().cause() });
        case envelope::kInstancesSeen:
            return handleInstances(message.instances_seen());
        case envelope::kRequestHandover:
            return outlets.sendToDispatch(Dispatch::transfer_offered { sender, decodeTransfer(message.request_handover()) });
        case envelope::kHandoverReply:
            return outlets.sendToDispatch(Dispatch::transfer_accepted { { message.handover_reply().request() }, message.handover_reply().http_address() });
        case envelope::kRequestQuery:
            return outlets.sendToDispatch(Dispatch::holder_query { { message.request_query().request() }, sender });
        case envelope::kRequestLocation:
            return outlets.holderLocated({ message.request_location().request() }, message.request_location().http_address());
        case envelope::kGrantReport:
            outlets.grantsReceived(decodeGrants(sender, { message.incarnation() }, message.grant_report()));
            return outlets.demandReceived(decodeDemand(sender, message.grant_report()));
        case envelope::kCatalogPull:
            if (message.catalog_pull().accepts_compressed())
                acceptsCompressed.insert(sender);
            else
                acceptsCompressed.erase(sender);
            return outlets.catalogRequested(sender, message.catalog_pull().after_version());
        case envelope::kCatalogText:
            return handleCatalogText(message.catalog_text());
        case envelope::kRelayedTables:
            return handleTableChanges(sender, message.relayed_tables());
        case envelope::kTableStateQuery:
            if (outlets.tableStateRequested)
                outlets.tableStateRequested(sender, decodeStateQuery(message.table_state_query()));
            return;
        case envelope::kTableState:
            if (outlets.tableStateReceived)
                outlets.tableStateReceived(sender, decodeTableState(message.table_state()));
            return;
        case envelope::kQuarantineStatements:
            return handleQuarantineStatements(sender, message.quarantine_statements());
        case envelope::kEndpointLimits:
            return handleEndpointLimits(sender, message.endpoint_limits());
        case envelope::kAccountLeases:
            return handleLeases(sender, message.account_leases());
        case envelope::kUsageCounts:
            return handleUsageCounts(sender, message.usage_counts());
        case envelope::kUsageCountsWritten:
            if (outlets.usageCountsConfirmed)
                outlets.usageCountsConfirmed(message.usage_counts_written().sequence());
            return;
        case envelope::BODY_NOT_SET:
            return;
        }
    }

    void receiveAll(zmq::socket_t& socket)
    {
        zmq::message_t bytes;
        while (socket.recv(bytes, zmq::recv_flags::dontwait)) {
            Common::countMetric("filbertreel_peer_bytes_received_total", bytes.size());
            Common::countMetric("filbertreel_peer_messages_received_total");
            envelope message;
            if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
                handleEnvelope(message);
            else
                Common::countMetric("filbertreel_peer_messages_unreadable_total");
        }
    }

    void handleInbox(std::vector<peer_message>& batch)
    {
        uint64_t wakes = 0;
        static_cast<void>(!read(wakeHandle, &wakes, sizeof(wakes)));
        inbox.drainInto(batch);
        for (peer_message& message : batch)
            std::visit([this](auto& item) { handle(std::move(item)); }, message);
    }
};

peer_duty::peer_duty(peer_settings settings, peer_outlets outlets)
    : m_implementation(std::make_unique<implementation>())
{
    implementation& self = *m_implementation;
    self.settings = std::move(settings);
    self.outlets = std::move(outlets);
    self.state.settings = self.settings.membership;
    self.state.self = self.settings.self;
    self.state.seeds = self.settings.seeds;
    self.state.random = Common::random_source(self.settings.seed);
    self.wakeHandle = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    self.inbox.setWaker([&self] { self.wake(); });
}

peer_duty::~peer_duty()
{
    close(m_implementation->wakeHandle);
}

bool peer_duty::submit(peer_message&& message)
{
    return m_implementation->inbox.push(message);
}

void peer_duty::run()
{
    implementation& self = *m_implementation;
    zmq::socket_t listener(self.sockets.context(), zmq::socket_type::pull);
    listener.set(zmq::sockopt::linger, 0);
    listener.bind("tcp://" + self.settings.listenAddress);
    std::vector<peer_message> batch;
    Common::instant nextTick = std::chrono::steady_clock::now();
    while (!self.isStopping) {
        std::array<zmq::pollitem_t, 2> items {
            zmq::pollitem_t { listener.handle(), 0, ZMQ_POLLIN, 0 },
            zmq::pollitem_t { nullptr, self.wakeHandle, ZMQ_POLLIN, 0 },
        };
        zmq::poll(items.data(), items.size(), tickInterval);
        self.receiveAll(listener);
        self.handleInbox(batch);
        if (std::chrono::steady_clock::now() < nextTick)
            continue;
        nextTick = std::chrono::steady_clock::now() + tickInterval;
        self.step(membership_tick {});
        self.sockets.closeIdle(std::chrono::steady_clock::now());
    }
    self.sockets.closeAll();
}

void peer_duty::stop()
{
    m_implementation->isStopping = true;
    m_implementation->wake();
}

} // namespace Membership
