#include "Filbertreeld/Node.h"

#include "Audit/AuditDuty.h"
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
    constexpr std::chrono::milliseconds offerInterval { 2000 };
    constexpr std::chrono::milliseconds flushPeriod { 300 };
    /// Callers may have read the address answer just before it changed, and connect at the end of its time to live.
    constexpr std::chrono::milliseconds addressSlack { 500 };
    /// Work that is still in flight is handed over in the first part of the notice, so that it survives a node that
    /// dies halfway through.
    constexpr double handoverShareOfNotice = 0.4;

    Entry::entry_settings makeEntrySettings(const node_settings& settings)
    {
        Entry::entry_settings made;
        const size_t colon = settings.httpListen.rfind(':');
        made.http.address = settings.httpListen.substr(0, colon);
        made.http.port = static_cast<uint16_t>(Common::parseUnsigned(settings.httpListen.substr(colon + 1)).value_or(0));
        made.http.maxBodyBytes = settings.maxBodyBytes;
        made.http.maxHeaderCount = settings.maxHeaders;
        made.http.maxConnections = settings.maxConnections;
        made.http.readTimeout = settings.readTimeout;
        made.http.writeTimeout = settings.writeTimeout;
        made.node = settings.node;
        made.zone = settings.zone;
        made.region = settings.region;
        made.advertisedAddress = settings.httpAdvertise;
        made.operatorKey = settings.operatorKey;
        made.addressTimeToLive = settings.addressTimeToLive;
        return made;
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
        Membership::peer_settings made;
        made.self.id = settings.node;
        made.self.peerAddress = settings.peerAdvertise;
        made.self.httpAddress = settings.httpAdvertise;
        made.self.zone = settings.zone;
        made.self.region = settings.region;
        made.self.incarnation = incarnation;
        made.listenAddress = settings.peerListen;
        made.seeds = settings.peers;
        made.seed = Common::systemSeed();
        made.membership.probeInterval = settings.probeInterval;
        return made;
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
    std::atomic<bool> isAnnounced { false };
    std::atomic<bool> isHastened { false };
    std::atomic<bool> hasFailed { false };

    explicit implementation(const node_settings& given)
        : settings(given)
        , platform({ given.tableUrl })
        , audit(makeAuditOutlets())
        , configuration(makeConfigurationOutlets())
        , endpoints({ given.cloudUrl, { given.node, given.region }, given.listInterval, given.loadInterval }, makeEndpointsOutlets())
        , rollout(makeRolloutOutlets())
        , dispatch(makeDispatchState(given, incarnation), makeDispatchOutlets())
        , peers(makePeerSettings(given, incarnation), makePeerOutlets())
        , entry(makeEntrySettings(given), makeEntryOutlets())
    {
    }

    auto tableCaller()
    {
        return [this](Platform::table_call&& call) { platform.submit(std::move(call)); };
    }

    auto operatorAnswerer()
    {
        return [this](Common::caller_token token, int status, std::string body) {
            static_cast<void>(entry.submit(Entry::operator_answered { token, { status, std::move(body) } }));
        };
    }

    Audit::audit_outlets makeAuditOutlets()
    {
        return { tableCaller(), operatorAnswerer() };
    }

    Configuration::configuration_outlets makeConfigurationOutlets()
    {
        Configuration::configuration_outlets outlets;
        outlets.callTable = tableCaller();
        outlets.publish = [this](std::shared_ptr<const Configuration::configuration> state) {
            static_cast<void>(dispatch.submit(Dispatch::configuration_published { state }));
            static_cast<void>(rollout.submit(Rollout::configuration_seen { state }));
            static_cast<void>(peers.submit(Membership::configuration_moved { state->version }));
            static_cast<void>(entry.submit(Entry::configuration_changed { std::move(state) }));
        };
        outlets.tellPeers = [this](const std::vector<Configuration::change>& changes) {
            static_cast<void>(peers.submit(Membership::push_changes { changes }));
        };
        outlets.pullFromPeers = [this](Common::config_version after) { static_cast<void>(peers.submit(Membership::pull_changes { after })); };
        outlets.answerPeer = [this](const Configuration::answer_peer& reply) { static_cast<void>(peers.submit(Membership::give_changes { reply })); };
        outlets.answerOperator = operatorAnswerer();
        return outlets;
    }

    Endpoints::endpoints_outlets makeEndpointsOutlets()
    {
        Endpoints::endpoints_outlets outlets;
        outlets.publishEndpoints = [this](const Endpoints::publish_endpoints& published) {
            static_cast<void>(dispatch.submit(Dispatch::endpoints_published { published.usable, published.sharingNodes }));
            static_cast<void>(entry.submit(Entry::endpoints_changed { published.usable }));
        };
        outlets.publishLoad = [this](const Endpoints::load_report& report) { static_cast<void>(dispatch.submit(Dispatch::load_published { report })); };
        outlets.tellPeersLeaving = [this](const Common::endpoint_id& id) { static_cast<void>(peers.submit(Membership::push_leaving { id })); };
        outlets.tellPeersInstances = [this](const std::vector<Endpoints::instance_info>& instances) { static_cast<void>(peers.submit(Membership::push_instances { instances })); };
        outlets.tellPeerLoads = [this](const Common::node_id& node, const std::vector<Endpoints::load_report>& reports) {
            static_cast<void>(peers.submit(Membership::give_loads { node, reports }));
        };
        outlets.publishEntries = [this](const std::vector<Endpoints::instance_info>& entries) { takeEntries(entries); };
        return outlets;
    }

    std::vector<Endpoints::poller> listPollers(const Membership::member_map& members) const
    {
        std::vector<Endpoints::poller> pollers { { settings.node, settings.region } };
        for (const auto& [id, item] : members) {
            if (item.status == Membership::member_status::Alive)
                pollers.push_back({ id, item.region });
        }
        return pollers;
    }

    void takeEntries(const std::vector<Endpoints::instance_info>& entries)
    {
        Membership::seeds_known seeds;
        for (const Endpoints::instance_info& info : entries) {
            if (info.id.value == settings.node.value && info.isLeaving)
                isAnnounced = true;
            else if (!info.peerAddress.empty() && !info.isLeaving)
                seeds.peerAddresses.push_back(info.peerAddress);
        }
        static_cast<void>(peers.submit(std::move(seeds)));
    }

    Dispatch::dispatch_outlets makeDispatchOutlets()
    {
        Dispatch::dispatch_outlets outlets;
        outlets.tellCallers = [this](std::vector<Dispatch::caller_action>& actions) {
            Entry::entry_message message = Entry::caller_actions { std::move(actions) };
            if (entry.submit(std::move(message)))
                return true;
            actions = std::move(std::get<Entry::caller_actions>(message).actions);
            return false;
        };
        outlets.callTable = tableCaller();
        outlets.reportRefused = [this](const Common::endpoint_id& id) {
            static_cast<void>(endpoints.submit(Endpoints::leaving_notice { id, Endpoints::leaving_source::RefusedConnection }));
        };
        outlets.observe = [this](Rollout::attempt_observed&& observed) { static_cast<void>(rollout.submit(std::move(observed))); };
        outlets.offerTransfer = [this](Dispatch::request_transfer&& item) { static_cast<void>(peers.submit(Membership::place_transfer { std::move(item) })); };
        outlets.acceptTransfer = [this](const Dispatch::accept_transfer& action) {
            static_cast<void>(peers.submit(Membership::confirm_transfer { action.peer, action.request }));
        };
        outlets.confirmHeld = [this](const Dispatch::confirm_held& action) {
            static_cast<void>(peers.submit(Membership::confirm_holder { action.peer, action.request }));
        };
        outlets.note = [this](const Dispatch::note_event& action) {
            static_cast<void>(audit.submit(Audit::event_noted { std::string(action.event), action.request, action.fields, { Common::wallClockMilliseconds() } }));
        };
        return outlets;
    }

    Rollout::rollout_outlets makeRolloutOutlets()
    {
        Rollout::rollout_outlets outlets;
        outlets.publishShares = [this](const Rollout::publish_shares& shares) { static_cast<void>(dispatch.submit(Dispatch::shares_published { shares })); };
        outlets.tellEvidence = [this](const Rollout::tell_evidence& evidence) { static_cast<void>(peers.submit(Membership::push_evidence { evidence })); };
        outlets.tellLatch = [this](const Rollout::tell_latch& latch) { static_cast<void>(peers.submit(Membership::push_latch { latch })); };
        outlets.proposeEnd = [this](const Rollout::propose_end& action) { proposeEnd(action); };
        return outlets;
    }

    /// Any node may write the end of a rollout; the chain lets one of them win.
    void proposeEnd(const Rollout::propose_end& action)
    {
        constexpr Common::caller_token nobodyWaits { 0 };
        constexpr size_t tokenLength = 24;
        Configuration::proposal proposal;
        proposal.operatorToken = nobodyWaits;
        proposal.item.kind = Configuration::change_kind::Version;
        proposal.item.subject = Configuration::versionKey(action.version.service, action.version.name);
        proposal.item.body = toJson(action.version);
        proposal.item.cause = action.cause;
        proposal.item.actor = settings.node.value;
        proposal.item.token = Configuration::generateKey().substr(0, tokenLength);
        proposal.item.madeAt = { Common::wallClockMilliseconds() };
        static_cast<void>(configuration.submit(std::move(proposal)));
    }

    Membership::peer_outlets makePeerOutlets()
    {
        Membership::peer_outlets outlets;
        outlets.publishMembers = [this](const Membership::member_map& members) {
            const std::vector<Endpoints::poller> alive = listPollers(members);
            static_cast<void>(rollout.submit(Rollout::nodes_counted { alive.size() }));
            static_cast<void>(endpoints.submit(Endpoints::pollers_known { alive }));
            static_cast<void>(entry.submit(Entry::members_changed { members }));
        };
        outlets.tellConfiguration = [this](Configuration::chain_message&& message) { static_cast<void>(configuration.submit(std::move(message))); };
        outlets.tellEndpoints = [this](Endpoints::table_message&& message) { static_cast<void>(endpoints.submit(std::move(message))); };
        outlets.tellRollout = [this](Rollout::rollout_message&& message) { static_cast<void>(rollout.submit(std::move(message))); };
        outlets.tellDispatch = [this](Dispatch::dispatch_message&& message) { static_cast<void>(dispatch.submit(std::move(message))); };
        outlets.located = [this](const Common::request_id& request, const std::string& address) {
            static_cast<void>(entry.submit(Entry::request_located { request, address }));
        };
        return outlets;
    }

    Entry::entry_outlets makeEntryOutlets()
    {
        Entry::entry_outlets outlets;
        outlets.tellDispatch = [this](Dispatch::dispatch_message&& message) { return dispatch.submit(std::move(message)); };
        outlets.tellConfiguration = [this](Configuration::chain_message&& message) { return configuration.submit(std::move(message)); };
        outlets.tellAudit = [this](Audit::audit_message&& message) { return audit.submit(std::move(message)); };
        outlets.findHolder = [this](const Common::request_id& request) { static_cast<void>(peers.submit(Membership::find_holder { request })); };
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

    void waitUntil(Common::instant end, bool onlyWhileBusy)
    {
        while (std::chrono::steady_clock::now() < end && !isHastened) {
            if (onlyWhileBusy && dispatch.unfinished() == 0)
                return;
            std::this_thread::sleep_for(leavePollInterval);
        }
    }

    void handOver(Common::instant end)
    {
        Common::instant nextOffer = std::chrono::steady_clock::now();
        while (dispatch.unfinished() > 0 && std::chrono::steady_clock::now() < end) {
            if (std::chrono::steady_clock::now() >= nextOffer) {
                static_cast<void>(dispatch.submit(Dispatch::handover_begun {}));
                nextOffer = std::chrono::steady_clock::now() + offerInterval;
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
    const Common::instant begun = std::chrono::steady_clock::now();
    const Common::instant end = begun + self.settings.notice;
    const auto share = std::chrono::duration_cast<std::chrono::milliseconds>(self.settings.notice * handoverShareOfNotice);
    Common::logEvent(Common::log_level::Info, "node_leaving", { { "notice_ms", self.settings.notice.count() } });
    static_cast<void>(self.entry.submit(Entry::leaving_begun {}));
    static_cast<void>(self.peers.submit(Membership::leave_begun {}));
    self.waitUntil(std::min(begun + self.settings.addressTimeToLive + addressSlack, begun + share), false);
    static_cast<void>(self.dispatch.submit(Dispatch::drain_begun {}));
    std::this_thread::sleep_for(4 * leavePollInterval);
    self.waitUntil(begun + share, true);
    self.handOver(end);
    std::this_thread::sleep_for(flushPeriod);
    Common::logEvent(Common::log_level::Info, "node_left", { { "unfinished", self.dispatch.unfinished() } });
}

void node::hasten()
{
    m_implementation->isHastened = true;
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
    return m_implementation->isAnnounced || m_implementation->hasFailed;
}

bool node::hasFailed() const
{
    return m_implementation->hasFailed;
}

} // namespace Filbertreeld
