#include "Membership/PeerDuty.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Text.h"
#include "Endpoints/CloudCodec.h"
#include "Membership/PeerCodec.h"
#include "Protocol/peer.pb.h"

#include <unordered_map>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

namespace Membership {

namespace {

    using filbertreel::peer::envelope;

    constexpr size_t ringCapacity = 8192;
    constexpr int messagesPerPeer = 256;
    constexpr std::chrono::milliseconds tickInterval { 200 };
    constexpr std::chrono::seconds idleSocketPeriod { 30 };
    /// Peers that are asked for a request besides the one that its id names.
    constexpr size_t holderCandidates = 8;
    constexpr size_t transferRanks = 3;

    struct peer_socket {
        zmq::socket_t socket;
        Common::instant lastUsed;
    };

} // namespace

struct peer_duty::implementation {
    peer_settings settings;
    peer_outlets outlets;
    membership_state state;
    Common::ring<peer_message> inbox { ringCapacity };
    zmq::context_t context { 1 };
    std::unordered_map<std::string, peer_socket> sockets;
    int wakeHandle { -1 };
    uint64_t placedTransfers { 0 };
    std::atomic<bool> isStopping { false };

    void wake() const
    {
        const uint64_t one = 1;
        static_cast<void>(!write(wakeHandle, &one, sizeof(one)));
    }

    peer_socket& socketTo(const std::string& address)
    {
        const auto found = sockets.find(address);
        if (found != sockets.end())
            return found->second;
        zmq::socket_t socket(context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, messagesPerPeer);
        socket.connect("tcp://" + address);
        return sockets.emplace(address, peer_socket { std::move(socket), {} }).first->second;
    }

    void send(const std::string& address, envelope& message)
    {
        message.set_sender(settings.self.id.value);
        message.set_sender_address(settings.self.peerAddress);
        message.set_incarnation(state.self.incarnation.value);
        const std::string bytes = message.SerializeAsString();
        peer_socket& peer = socketTo(address);
        peer.lastUsed = std::chrono::steady_clock::now();
        const auto sent = peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        if (!sent) {
            Common::countMetric("filbertreel_peer_sends_refused_total");
            return;
        }
        Common::countMetric("filbertreel_peer_bytes_sent_total", bytes.size());
        Common::countMetric("filbertreel_peer_messages_sent_total");
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
        if (action.isReply) {
            message.mutable_probe_reply()->set_sequence(action.sequence);
            message.mutable_probe_reply()->set_membership_digest(action.digest);
            message.mutable_probe_reply()->set_configuration_version(action.configuration.value);
        } else {
            message.mutable_probe()->set_sequence(action.sequence);
            message.mutable_probe()->set_membership_digest(action.digest);
            message.mutable_probe()->set_configuration_version(action.configuration.value);
        }
        send(action.address, message);
    }

    void perform(const send_facts& action)
    {
        envelope message;
        message.mutable_member_facts()->set_is_full_table(action.isFullTable);
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

    void perform(const peer_ahead& action)
    {
        outlets.tellConfiguration(Configuration::peer_is_ahead { action.version });
    }

    void perform(const member_changed& action)
    {
        Common::logEvent(Common::log_level::Info, "member_changed", { { "member", action.item.id.value }, { "status", nameOf(action.item.status) }, { "incarnation", action.item.incarnation.value } });
    }

    // What the other duties ask for.

    void take(seeds_known&& message)
    {
        for (const std::string& address : settings.seeds)
            message.peerAddresses.push_back(address);
        step(std::move(message));
    }

    void take(configuration_moved&& message) { step(message); }

    void take(leave_begun&& message) { step(message); }

    void take(push_changes&& message)
    {
        envelope outgoing;
        for (const Configuration::change& item : message.changes) {
            auto* added = outgoing.mutable_configuration_changes()->add_changes();
            added->set_version(item.version.value);
            added->set_change_json(encodeChange(item));
        }
        sendToLinks(outgoing);
    }

    void take(pull_changes&& message)
    {
        envelope outgoing;
        outgoing.mutable_configuration_pull()->set_after_version(message.after.value);
        sendToLinks(outgoing);
    }

    void take(give_changes&& message)
    {
        envelope outgoing;
        auto* changes = outgoing.mutable_configuration_changes();
        for (const Configuration::change& item : message.reply.changes) {
            auto* added = changes->add_changes();
            added->set_version(item.version.value);
            added->set_change_json(encodeChange(item));
        }
        if (message.reply.snapshot)
            changes->set_snapshot_json(toJson(*message.reply.snapshot).dump());
        sendTo(message.reply.peer, outgoing);
    }

    void take(push_leaving&& message)
    {
        envelope outgoing;
        outgoing.mutable_endpoint_leaving()->set_endpoint(message.endpoint.value);
        sendToLinks(outgoing);
    }

    void take(push_instances&& message)
    {
        envelope outgoing;
        outgoing.mutable_instances_seen()->set_list_json(Endpoints::encodeInstances(message.instances));
        sendToLinks(outgoing);
    }

    void take(give_loads&& message)
    {
        envelope outgoing;
        for (const Endpoints::load_report& report : message.reports) {
            auto* load = outgoing.mutable_load_digest()->add_loads();
            load->set_endpoint(report.id.value);
            load->set_running(report.running);
            load->set_waiting(report.waiting);
        }
        sendTo(message.peer, outgoing);
    }

    void take(push_evidence&& message)
    {
        envelope outgoing;
        encodeEvidence(message.evidence, *outgoing.mutable_rollout_evidence());
        for (const auto& [id, item] : state.members) {
            if (item.status != member_status::Dead)
                send(item.peerAddress, outgoing);
        }
    }

    void take(push_latch&& message)
    {
        envelope outgoing;
        outgoing.mutable_rollout_latch()->set_service(message.latch.key.service);
        outgoing.mutable_rollout_latch()->set_version(message.latch.key.version.value);
        outgoing.mutable_rollout_latch()->set_cause(message.latch.cause);
        sendToLinks(outgoing);
    }

    void take(place_transfer&& message)
    {
        // Each new offer of a request goes to another peer than the one before.
        const size_t rank = placedTransfers++ % transferRanks;
        Common::node_id peer = choosePeer(state.members, settings.self.id, message.item.request.value, rank);
        if (peer.value.empty())
            peer = choosePeer(state.members, settings.self.id, message.item.request.value, 0);
        envelope outgoing;
        encodeTransfer(message.item, *outgoing.mutable_request_handover());
        sendTo(peer, outgoing);
    }

    void take(confirm_transfer&& message)
    {
        envelope outgoing;
        outgoing.mutable_handover_reply()->set_request(message.request.value);
        outgoing.mutable_handover_reply()->set_http_address(settings.self.httpAddress);
        sendTo(message.peer, outgoing);
    }

    void take(find_holder&& message)
    {
        envelope outgoing;
        outgoing.mutable_request_query()->set_request(message.request.value);
        const Common::node_id home { Common::split(message.request.value, '.').front() };
        sendTo(home, outgoing);
        for (size_t rank = 0; rank < holderCandidates; ++rank) {
            const Common::node_id peer = choosePeer(state.members, settings.self.id, message.request.value, rank);
            if (!peer.value.empty() && peer != home)
                sendTo(peer, outgoing);
        }
    }

    void take(confirm_holder&& message)
    {
        envelope outgoing;
        outgoing.mutable_request_location()->set_request(message.request.value);
        outgoing.mutable_request_location()->set_http_address(settings.self.httpAddress);
        sendTo(message.peer, outgoing);
    }

    // What the peers say.

    void hearProbe(const envelope& message, const auto& body, bool isReply)
    {
        probe_heard heard;
        heard.from = { message.sender() };
        heard.fromAddress = message.sender_address();
        heard.incarnation = { message.incarnation() };
        heard.sequence = body.sequence();
        heard.digest = body.membership_digest();
        heard.configuration = { body.configuration_version() };
        heard.isReply = isReply;
        step(std::move(heard));
    }

    void hearFacts(const envelope& message)
    {
        facts_heard heard { { message.sender() }, {} };
        for (const auto& record : message.member_facts().members())
            heard.members.push_back(decodeMember(record));
        step(std::move(heard));
    }

    void hearChanges(const filbertreel::peer::configuration_changes& body)
    {
        if (!body.snapshot_json().empty()) {
            auto snapshot = Configuration::parseConfiguration(nlohmann::json::parse(body.snapshot_json(), nullptr, false));
            if (snapshot)
                outlets.tellConfiguration(Configuration::peer_snapshot { std::move(*snapshot) });
        }
        Configuration::peer_changes heard;
        for (const auto& item : body.changes()) {
            auto change = Configuration::decodeChange(item.change_json());
            if (change)
                heard.changes.push_back(std::move(*change));
        }
        if (!heard.changes.empty())
            outlets.tellConfiguration(std::move(heard));
    }

    void hearLoads(const filbertreel::peer::load_digest& body)
    {
        for (const auto& load : body.loads())
            outlets.tellEndpoints(Endpoints::load_heard { { { load.endpoint() }, load.running(), load.waiting(), false } });
    }

    void hearInstances(const filbertreel::peer::instances_seen& body)
    {
        auto instances = Endpoints::parseInstances(body.list_json());
        if (instances)
            outlets.tellEndpoints(Endpoints::instances_heard { std::move(*instances) });
    }

    void hear(const envelope& message)
    {
        const Common::node_id sender { message.sender() };
        switch (message.body_case()) {
        case envelope::kProbe:
            return hearProbe(message, message.probe(), false);
        case envelope::kProbeReply:
            return hearProbe(message, message.probe_reply(), true);
        case envelope::kMemberFacts:
            return hearFacts(message);
        case envelope::kMemberPull:
            return step(pull_heard { message.sender_address() });
        case envelope::kConfigurationChanges:
            return hearChanges(message.configuration_changes());
        case envelope::kConfigurationPull:
            return outlets.tellConfiguration(Configuration::peer_pull { sender, { message.configuration_pull().after_version() } });
        case envelope::kEndpointLeaving:
            return outlets.tellEndpoints(Endpoints::leaving_notice { { message.endpoint_leaving().endpoint() }, Endpoints::leaving_source::Peer });
        case envelope::kLoadDigest:
            return hearLoads(message.load_digest());
        case envelope::kRolloutEvidence:
            return outlets.tellRollout(decodeEvidence(sender, message.rollout_evidence()));
        case envelope::kRolloutLatch:
            return outlets.tellRollout(Rollout::peer_latch { { message.rollout_latch().service(), { message.rollout_latch().version() } }, message.rollout_latch().cause() });
        case envelope::kInstancesSeen:
            return hearInstances(message.instances_seen());
        case envelope::kRequestHandover:
            return outlets.tellDispatch(Dispatch::transfer_offered { sender, decodeTransfer(message.request_handover()) });
        case envelope::kHandoverReply:
            return outlets.tellDispatch(Dispatch::transfer_taken { { message.handover_reply().request() }, message.handover_reply().http_address() });
        case envelope::kRequestQuery:
            return outlets.tellDispatch(Dispatch::holder_query { { message.request_query().request() }, sender });
        case envelope::kRequestLocation:
            return outlets.located({ message.request_location().request() }, message.request_location().http_address());
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
                hear(message);
            else
                Common::countMetric("filbertreel_peer_messages_unreadable_total");
        }
    }

    void takeAll(std::vector<peer_message>& batch)
    {
        uint64_t wakes = 0;
        static_cast<void>(!read(wakeHandle, &wakes, sizeof(wakes)));
        inbox.drainInto(batch);
        for (peer_message& message : batch)
            std::visit([this](auto& item) { take(std::move(item)); }, message);
    }

    void closeIdleSockets()
    {
        const Common::instant now = std::chrono::steady_clock::now();
        std::erase_if(sockets, [now](const auto& entry) { return now - entry.second.lastUsed >= idleSocketPeriod; });
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
    zmq::socket_t listener(self.context, zmq::socket_type::pull);
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
        self.takeAll(batch);
        if (std::chrono::steady_clock::now() < nextTick)
            continue;
        nextTick = std::chrono::steady_clock::now() + tickInterval;
        self.step(membership_tick {});
        self.closeIdleSockets();
    }
    self.sockets.clear();
}

void peer_duty::stop()
{
    m_implementation->isStopping = true;
    m_implementation->wake();
}

} // namespace Membership
