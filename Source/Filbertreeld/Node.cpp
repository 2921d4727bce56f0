#include "Filbertreeld/Node.h"

#include "Audit/AuditDuty.h"
#include "Common/Delivery.h"
#include "Common/Text.h"
#include "Configuration/ConfigurationDuty.h"
#include "Configuration/Secret.h"
#include "Dispatch/DispatchDuty.h"
#include "Endpoints/EndpointsDuty.h"
#include "Entry/EntryDuty.h"
#include "Membership/PeerDuty.h"
#include "Platform/PlatformDuty.h"
#include "Rollout/RolloutDuty.h"

#include <thread>

namespace Filbertreeld {

namespace {

    constexpr std::chrono::milliseconds leavePollInterval { 50 };
    /// Interval at which a leaving node offers its unfinished model requests to peers again.
    constexpr std::chrono::milliseconds handoverOfferInterval { 2000 };
    constexpr std::chrono::milliseconds finalFlushDelay { 300 };
    /// Added to the time to live of the address response: callers may have got it just before it changed, and connect at
    /// the end of its time to live.
    constexpr std::chrono::milliseconds addressTtlMargin { 500 };
    /// Share of the notice after which the handover of unfinished requests begins: early, so that they survive a node
    /// that dies halfway through its notice.
    constexpr double handoverShareOfNotice = 0.4;

    Entry::entry_settings makeEntrySettings(const node_settings& settings)
    {
        Entry::entry_settings entrySettings;
        const size_t colon = settings.httpListen.rfind(':');
        entrySettings.http.address = settings.httpListen.substr(0, colon);
        entrySettings.http.port = static_cast<uint16_t>(Common::parseUnsigned(settings.httpListen.substr(colon + 1)).value_or(0));
        entrySettings.http.maxBodyBytes = settings.maxBodyBytes;
        entrySettings.http.maxHeaderCount = settings.maxHeaders;
        entrySettings.http.maxConnections = settings.maxConnections;
        entrySettings.http.readTimeout = settings.readTimeout;
        entrySettings.http.writeTimeout = settings.writeTimeout;
        entrySettings.node = settings.node;
        entrySettings.zone = settings.zone;
        entrySettings.region = settings.region;
        entrySettings.advertisedAddress = settings.httpAdvertise;
        entrySettings.operatorKey = settings.operatorKey;
        entrySettings.addressTimeToLive = settings.addressTimeToLive;
        return entrySettings;
    }

    Dispatch::dispatch_state makeDispatchState(const node_settings& settings, Common::incarnation_number incarnation)
    {
        Dispatch::dispatch_state state;
        state.settings.node = settings.node;
        state.settings.incarnation = incarnation;
        state.settings.reconnectGrace = settings.reconnectGrace;
        state.router.chosenPolicy = settings.policy;
        state.router.zone = settings.zone;
        state.router.region = settings.region;
        state.router.random = Common::random_source(Common::systemSeed());
        state.admission.settings.maxInFlight = settings.maxInFlight;
        return state;
    }

    Membership::peer_settings makePeerSettings(const node_settings& settings, Common::incarnation_number incarnation)
    {
        Membership::peer_settings peerSettings;
        peerSettings.self.id = settings.node;
        peerSettings.self.peerAddress = settings.peerAdvertise;
        peerSettings.self.httpAddress = settings.httpAdvertise;
        peerSettings.self.zone = settings.zone;
        peerSettings.self.region = settings.region;
        peerSettings.self.incarnation = incarnation;
        peerSettings.listenAddress = settings.peerListen;
        peerSettings.seeds = settings.peers;
        peerSettings.seed = Common::systemSeed();
        peerSettings.membership.probeInterval = settings.probeInterval;
        return peerSettings;
    }

} // namespace

struct node::implementation {
    node_settings settings;
    Common::incarnation_number incarnation { static_cast<uint64_t>(Common::wallClockMilliseconds()) };
    Platform::platform_duty platform;
    Audit::audit_duty audit;
    Configuration::configuration_duty configuration;
    Endpoints::endpoints_duty endpoints;
    Rollout::rollout_duty rollout;
    Dispatch::dispatch_duty dispatch;
    Membership::peer_duty peers;
    Entry::entry_duty entry;
    std::vector<std::thread> threads;
    std::atomic<bool> isTerminationAnnounced { false };
    std::atomic<bool> isHandoverRequested { false };
    std::atomic<bool> hasFailed { false };

    explicit implementation(const node_settings& nodeSettings)
        : settings(nodeSettings)
        , platform({ nodeSettings.tableUrl })
        , audit(makeAuditOutlets())
        , configuration(makeConfigurationOutlets())
        , endpoints({ nodeSettings.cloudUrl, { nodeSettings.node, nodeSettings.region }, nodeSettings.listInterval, nodeSettings.loadInterval }, makeEndpointsOutlets())
        , rollout(makeRolloutOutlets())
        , dispatch(makeDispatchState(nodeSettings, incarnation), makeDispatchOutlets())
        , peers(makePeerSettings(nodeSettings, incarnation), makePeerOutlets())
        , entry(makeEntrySettings(nodeSettings), makeEntryOutlets())
    {
    }

    auto makeTableCaller()
    {
        return [this](Platform::table_call&& call) { platform.submit(std::move(call)); };
    }

    auto makeOperatorResponder()
    {
        return [this](Common::caller_token token, int status, std::string body) {
            Common::deliver(entry, Entry::operator_answered { token, { status, std::move(body) } });
        };
    }

    Audit::audit_outlets makeAuditOutlets()
    {
        return { makeTableCaller(), makeOperatorResponder() };
    }

    Configuration::configuration_outlets makeConfigurationOutlets()
    {
        Configuration::configuration_outlets outlets;
        outlets.callTable = makeTableCaller();
        outlets.publish = [this](std::shared_ptr<const Configuration::configuration> state) {
            Common::deliver(dispatch, Dispatch::configuration_published { state });
            Common::deliver(rollout, Rollout::configuration_changed { state });
            Common::deliver(peers, Membership::configuration_changed { state->version });
            Common::deliver(entry, Entry::configuration_changed { std::move(state) });
        };
        outlets.tellPeers = [this](const std::vector<Configuration::change>& changes) {
            Common::deliver(peers, Membership::push_changes { changes });
        };
        outlets.pullFromPeers = [this](Common::config_version after) { Common::deliver(peers, Membership::pull_changes { after }); };
        outlets.answerPeer = [this](const Configuration::answer_peer& reply) { Common::deliver(peers, Membership::reply_changes { reply }); };
        outlets.answerOperator = makeOperatorResponder();
        return outlets;
    }

    Endpoints::endpoints_outlets makeEndpointsOutlets()
    {
        Endpoints::endpoints_outlets outlets;
        outlets.publishEndpoints = [this](const Endpoints::publish_endpoints& published) {
            Common::deliver(dispatch, Dispatch::endpoints_published { published.usable, published.nodesPerEndpoint });
            Common::deliver(entry, Entry::endpoints_changed { published.usable });
        };
        outlets.publishLoad = [this](const Endpoints::load_report& report) { Common::deliver(dispatch, Dispatch::load_published { report }); };
        outlets.broadcastLeaving = [this](const Common::endpoint_id& id) { Common::deliver(peers, Membership::push_endpoint_leaving { id }); };
        outlets.broadcastInstances = [this](const std::vector<Endpoints::instance_info>& instances) { Common::deliver(peers, Membership::push_instances { instances }); };
        outlets.sendLoads = [this](const Common::node_id& node, const std::vector<Endpoints::load_report>& reports) {
            Common::deliver(peers, Membership::send_loads { node, reports });
        };
        outlets.publishEntries = [this](const std::vector<Endpoints::instance_info>& entryNodes) { handleEntryNodes(entryNodes); };
        return outlets;
    }

    std::vector<Endpoints::poller> listPollers(const Membership::member_map& members) const
    {
        std::vector<Endpoints::poller> pollers { { settings.node, settings.region } };
        for (const auto& [id, member] : members) {
            if (member.status == Membership::member_status::Alive)
                pollers.push_back({ id, member.region });
        }
        return pollers;
    }

    void handleEntryNodes(const std::vector<Endpoints::instance_info>& entryNodes)
    {
        Membership::seeds_changed seeds;
        for (const Endpoints::instance_info& instance : entryNodes) {
            if (instance.id.value == settings.node.value && instance.isLeaving)
                isTerminationAnnounced = true;
            else if (!instance.peerAddress.empty() && !instance.isLeaving)
                seeds.peerAddresses.push_back(instance.peerAddress);
        }
        Common::deliver(peers, std::move(seeds));
    }

    Dispatch::dispatch_outlets makeDispatchOutlets()
    {
        Dispatch::dispatch_outlets outlets;
        outlets.sendToCallers = [this](std::vector<Dispatch::caller_action>& actions) {
            Entry::entry_message message = Entry::caller_actions { std::move(actions) };
            if (entry.submit(std::move(message)))
                return true;
            actions = std::move(std::get<Entry::caller_actions>(message).actions);
            return false;
        };
        outlets.callTable = makeTableCaller();
        outlets.reportConnectionRefused = [this](const Common::endpoint_id& id) {
            Common::deliver(endpoints, Endpoints::leaving_notice { id, Endpoints::leaving_source::RefusedConnection });
        };
        outlets.reportRolloutEvent = [this](Rollout::attempt_observed&& observed) { Common::deliver(rollout, std::move(observed)); };
        outlets.offerTransfer = [this](Dispatch::request_transfer&& transfer) { Common::deliver(peers, Membership::offer_transfer { std::move(transfer) }); };
        outlets.acceptTransfer = [this](const Dispatch::accept_transfer& action) {
            Common::deliver(peers, Membership::confirm_transfer { action.peer, action.request });
        };
        outlets.confirmHeld = [this](const Dispatch::confirm_held& action) {
            Common::deliver(peers, Membership::confirm_holder { action.peer, action.request });
        };
        outlets.recordEvent = [this](const Dispatch::request_event& event) {
            Common::deliver(audit, Audit::event_noted { std::string(event.event), event.request, event.fields, { Common::wallClockMilliseconds() } });
        };
        return outlets;
    }

    Rollout::rollout_outlets makeRolloutOutlets()
    {
        Rollout::rollout_outlets outlets;
        outlets.publishShares = [this](const Rollout::publish_shares& shares) { Common::deliver(dispatch, Dispatch::shares_published { shares }); };
        outlets.broadcastEvidence = [this](const Rollout::broadcast_evidence& evidence) { Common::deliver(peers, Membership::push_evidence { evidence }); };
        outlets.broadcastLatch = [this](const Rollout::broadcast_latch& latch) { Common::deliver(peers, Membership::push_bad_version { latch }); };
        outlets.proposeEnd = [this](const Rollout::propose_end& action) { proposeEnd(action); };
        return outlets;
    }

    /// Proposes the end of a rollout as a configuration change. Any node may propose it; the version chain accepts only
    /// one of the proposals.
    void proposeEnd(const Rollout::propose_end& action)
    {
        constexpr Common::caller_token noOperatorToken { 0 };
        constexpr size_t tokenLength = 24;
        Configuration::proposal proposal;
        proposal.operatorToken = noOperatorToken;
        proposal.item.kind = Configuration::change_kind::Version;
        proposal.item.subject = Configuration::versionKey(action.version.service, action.version.name);
        proposal.item.body = toJson(action.version);
        proposal.item.cause = action.cause;
        proposal.item.actor = settings.node.value;
        proposal.item.token = Configuration::generateKey().substr(0, tokenLength);
        proposal.item.madeAt = { Common::wallClockMilliseconds() };
        Common::deliver(configuration, std::move(proposal));
    }

    Membership::peer_outlets makePeerOutlets()
    {
        Membership::peer_outlets outlets;
        outlets.publishMembers = [this](const Membership::member_map& members) {
            const std::vector<Endpoints::poller> alive = listPollers(members);
            Common::deliver(rollout, Rollout::node_count_changed { alive.size() });
            Common::deliver(endpoints, Endpoints::pollers_changed { alive });
            Common::deliver(entry, Entry::members_changed { members });
        };
        outlets.sendToConfiguration = [this](Configuration::chain_message&& message) { Common::deliver(configuration, std::move(message)); };
        outlets.sendToEndpoints = [this](Endpoints::table_message&& message) { Common::deliver(endpoints, std::move(message)); };
        outlets.sendToRollout = [this](Rollout::rollout_message&& message) { Common::deliver(rollout, std::move(message)); };
        outlets.sendToDispatch = [this](Dispatch::dispatch_message&& message) { Common::deliver(dispatch, std::move(message)); };
        outlets.holderLocated = [this](const Common::request_id& request, const std::string& address) {
            Common::deliver(entry, Entry::request_located { request, address });
        };
        return outlets;
    }

    Entry::entry_outlets makeEntryOutlets()
    {
        Entry::entry_outlets outlets;
        outlets.sendToDispatch = [this](Dispatch::dispatch_message&& message) { return dispatch.submit(std::move(message)); };
        outlets.sendToConfiguration = [this](Configuration::chain_message&& message) { return configuration.submit(std::move(message)); };
        outlets.sendToAudit = [this](Audit::audit_message&& message) { return audit.submit(std::move(message)); };
        outlets.findHolder = [this](const Common::request_id& request) { Common::deliver(peers, Membership::find_holder { request }); };
        return outlets;
    }

    template <typename duty_type>
    void startThread(std::string_view name, duty_type& duty)
    {
        threads.emplace_back([this, name, &duty] {
            try {
                duty.run();
            } catch (const std::exception& error) {
                Common::logEvent(Common::log_level::Error, "duty_failed", { { "duty", name }, { "reason", error.what() } });
                hasFailed = true;
            }
        });
    }

    void waitUntil(Common::instant deadline, bool onlyWhileBusy)
    {
        while (std::chrono::steady_clock::now() < deadline && !isHandoverRequested) {
            if (onlyWhileBusy && dispatch.unfinished() == 0)
                return;
            std::this_thread::sleep_for(leavePollInterval);
        }
    }

    void handOver(Common::instant deadline)
    {
        Common::instant nextOffer = std::chrono::steady_clock::now();
        while (dispatch.unfinished() > 0 && std::chrono::steady_clock::now() < deadline) {
            if (std::chrono::steady_clock::now() >= nextOffer) {
                Common::deliver(dispatch, Dispatch::handover_begun {});
                nextOffer = std::chrono::steady_clock::now() + handoverOfferInterval;
            }
            std::this_thread::sleep_for(leavePollInterval);
        }
    }
};

node::node(const node_settings& settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

node::~node() = default;

void node::start()
{
    implementation& self = *m_implementation;
    self.startThread("platform", self.platform);
    self.startThread("audit", self.audit);
    self.startThread("configuration", self.configuration);
    self.startThread("endpoints", self.endpoints);
    self.startThread("rollout", self.rollout);
    self.startThread("dispatch", self.dispatch);
    self.startThread("peers", self.peers);
    self.startThread("entry", self.entry);
    Common::logEvent(Common::log_level::Info, "node_started", { { "incarnation", self.incarnation.value }, { "http", self.settings.httpListen }, { "peer", self.settings.peerListen } });
}

void node::leave()
{
    implementation& self = *m_implementation;
    const Common::instant leaveStart = std::chrono::steady_clock::now();
    const Common::instant deadline = leaveStart + self.settings.notice;
    const auto timeUntilHandover = std::chrono::duration_cast<std::chrono::milliseconds>(self.settings.notice * handoverShareOfNotice);
    Common::logEvent(Common::log_level::Info, "node_leaving", { { "notice_ms", self.settings.notice.count() } });
    static_cast<void>(self.entry.submit(Entry::leaving_begun {}));
    static_cast<void>(self.peers.submit(Membership::leave_started {}));
    self.waitUntil(std::min(leaveStart + self.settings.addressTimeToLive + addressTtlMargin, leaveStart + timeUntilHandover), false);
    static_cast<void>(self.dispatch.submit(Dispatch::drain_begun {}));
    std::this_thread::sleep_for(4 * leavePollInterval);
    self.waitUntil(leaveStart + timeUntilHandover, true);
    self.handOver(deadline);
    std::this_thread::sleep_for(finalFlushDelay);
    Common::logEvent(Common::log_level::Info, "node_left", { { "unfinished", self.dispatch.unfinished() } });
}

void node::handOverNow()
{
    m_implementation->isHandoverRequested = true;
}

void node::stop()
{
    implementation& self = *m_implementation;
    self.entry.stop();
    self.peers.stop();
    self.dispatch.stop();
    self.rollout.stop();
    self.endpoints.stop();
    self.configuration.stop();
    self.platform.stop();
    self.audit.stop();
    for (std::thread& thread : self.threads)
        thread.join();
    self.threads.clear();
}

bool node::shouldLeave() const
{
    return m_implementation->isTerminationAnnounced || m_implementation->hasFailed;
}

bool node::hasFailed() const
{
    return m_implementation->hasFailed;
}

} // namespace Filbertreeld
