#include "Filbertreeld/PlatformNode.h"

#include "Common/Delivery.h"
#include "Common/Log.h"
#include "Common/Random.h"
#include "Control/ControlDuty.h"
#include "Directory/DirectoryDuty.h"
#include "Filbertreeld/Settings.h"
#include "Gateway/GatewayDuty.h"
#include "Membership/PeerDuty.h"
#include "platform/CallHeaders.h"
#include "platform/DirectoryCalls.h"
#include "platform/RolloutCodec.h"
#include "platform/SettingsFile.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace Filbertreeld {

namespace {

    using std::chrono::milliseconds;

    /// Time to live of address responses: short, so that callers soon stop connecting to a node that leaves.
    constexpr milliseconds addressTimeToLive { 1000 };
    /// A node that its peers consider dead is removed after this time; a node that only restarts is back sooner.
    constexpr milliseconds deadNodeRemovalDelay { 8000 };
    /// How long a node that the store lists counts as reachable while the peers do not know it: nodes that start
    /// together discover each other within about a second.
    constexpr milliseconds newNodeGracePeriod { 3000 };
    /// Share of the grace period after which a leaving node stops even if its gateway hasn't ended.
    constexpr double maxLeaveShareOfGrace = 0.97;
    constexpr milliseconds submitRetryInterval { 10 };
    /// Connections to each listener of the directory; further ones wait to be accepted.
    constexpr size_t minDirectoryConnections = 64;
    constexpr size_t directoryPartsOfDescriptors = 16;

    Fleet::node_entry makeNodeEntry(const Fleet::node_facts& facts, Common::incarnation_number incarnation)
    {
        Fleet::node_entry entry;
        entry.node = facts.node;
        entry.clientAddress = facts.listen.callers;
        entry.peerAddress = facts.ip + ":" + std::to_string(facts.firstPeerPort);
        entry.zone = facts.zone;
        entry.region = facts.region;
        entry.incarnation = incarnation;
        entry.cores = facts.limits.cores;
        return entry;
    }

    Membership::peer_settings makePeerSettings(const Fleet::node_facts& facts, Common::incarnation_number incarnation)
    {
        const Fleet::node_entry entry = makeNodeEntry(facts, incarnation);
        Membership::peer_settings settings;
        settings.self.id = entry.node;
        settings.self.peerAddress = entry.peerAddress;
        settings.self.httpAddress = entry.clientAddress;
        settings.self.zone = entry.zone;
        settings.self.region = entry.region;
        settings.self.incarnation = incarnation;
        settings.listenAddress = entry.peerAddress;
        settings.seed = Common::systemSeed();
        return settings;
    }

    milliseconds addressLifeOf(const Fleet::node_facts& facts)
    {
        return std::min(addressTimeToLive, facts.bounds.maxAddressTtl);
    }

    Directory::directory_settings makeDirectorySettings(const Fleet::node_facts& facts)
    {
        Directory::directory_settings settings;
        settings.listen = { facts.listen.readiness };
        if (!facts.listen.directory.empty() && facts.listen.directory != facts.listen.readiness)
            settings.listen.push_back(facts.listen.directory);
        settings.listen.push_back(facts.ip + ":" + std::to_string(facts.lastPeerPort));
        settings.addressLife = addressLifeOf(facts);
        settings.format = PlatformAdapter::makeDirectoryFormat();
        settings.maxConnections = std::max<size_t>(minDirectoryConnections, facts.limits.fileDescriptors / directoryPartsOfDescriptors);
        return settings;
    }

} // namespace

struct platform_node::implementation {
    Fleet::node_facts facts;
    Common::incarnation_number incarnation { static_cast<uint64_t>(Common::wallClockMilliseconds()) };
    Directory::directory_duty directory;
    Gateway::gateway_duty gateway;
    Control::control_duty control;
    Membership::peer_duty peers;
    std::vector<std::pair<std::string_view, std::thread>> threads; ///< By name.
    std::mutex nodesMutex;
    Fleet::node_map nodes; ///< As listed in the store. Guarded by nodesMutex.
    Membership::member_map members; ///< As seen by the peers. Guarded by nodesMutex.
    std::map<Common::node_id, Common::instant> deadSince;
    std::map<Common::node_id, Common::instant> unknownToPeersSince; ///< Listed in the store, unknown to the peers.
    std::vector<Gateway::relay_peer> relayPeers; ///< As the gateway knows them. Guarded by nodesMutex.
    std::atomic<bool> isLeaving { false };
    std::atomic<bool> hasFailed { false };
    std::promise<void> gatewayEnded; ///< Set once by the gateway's thread.
    std::promise<void> rowRemoved; ///< Set once by the control duty's thread.

    explicit implementation(const Fleet::node_facts& nodeFacts)
        : facts(nodeFacts)
        , directory(makeDirectorySettings(nodeFacts))
        , gateway({ nodeFacts, incarnation, PlatformAdapter::makeWireFormat(), Common::systemSeed(), addressLifeOf(nodeFacts) }, makeGatewayOutlets())
        , control({ nodeFacts, makeNodeEntry(nodeFacts, incarnation), PlatformAdapter::makePlatformCalls(), Common::systemSeed() }, makeControlOutlets())
        , peers(makePeerSettings(nodeFacts, incarnation), makePeerOutlets())
    {
    }

    Gateway::gateway_outlets makeGatewayOutlets()
    {
        Gateway::gateway_outlets outlets;
        outlets.report = [this](Gateway::interval_report&& report) {
            Common::deliver(peers, Membership::push_grants { report.grants, report.demand });
            Common::deliver(control, Control::gateway_interval_reported { std::move(report) });
        };
        outlets.reportAttempt = [this](Gateway::attempt_report&& seen) { Common::deliver(control, std::move(seen)); };
        outlets.sendQuarantineStatements = [this](std::vector<Quarantine::outgoing_statement>&& items) { Common::deliver(peers, Membership::push_quarantine_statements { std::move(items) }); };
        outlets.sendEndpointLimits = [this](std::vector<EndpointLimits::outgoing_message>&& items) { Common::deliver(peers, Membership::push_endpoint_limits { std::move(items) }); };
        outlets.sendLeases = [this](std::vector<Quota::outgoing_lease>&& items) { Common::deliver(peers, Membership::push_leases { std::move(items) }); };
        outlets.storeQuarantines = [this](std::vector<Quarantine::stored_quarantine>&& changes) {
            Common::deliver(control, Control::quarantines_changed { std::move(changes) });
        };
        // The readiness changes after the gateway has been told: a caller that sees it must not get a response that
        // keeps its connection open.
        outlets.leaveStarted = [this] { directory.setReady(false); };
        outlets.stoppedAccepting = [this] {
            Common::deliver(control, Control::leave_finished {});
        };
        outlets.leaveEnded = [this] { gatewayEnded.set_value(); };
        outlets.servingStarted = [this] {
            if (!isLeaving)
                directory.setReady(true);
        };
        outlets.endpointLeaving = [this](const Common::endpoint_id& id, Fleet::start_time started) {
            Common::deliver(control, Control::endpoint_leaving_received { id, started, "response" });
        };
        return outlets;
    }

    Control::control_outlets makeControlOutlets()
    {
        Control::control_outlets outlets;
        outlets.sendToGateway = [this](Gateway::gateway_message&& message) {
            std::visit([this](auto& item) { Common::deliver(gateway, std::move(item)); }, message);
        };
        outlets.publishNodes = [this](const Fleet::node_map& nodes) { publishNodes(nodes); };
        outlets.broadcastLeaving = [this](const Fleet::endpoint& endpoint) { Common::deliver(peers, Membership::push_endpoint_leaving { endpoint.id, endpoint.started.value }); };
        outlets.announceCatalog = [this](uint64_t version) { Common::deliver(peers, Membership::configuration_changed { { version } }); };
        outlets.requestCatalog = [this](uint64_t after) { Common::deliver(peers, Membership::pull_catalog { after }); };
        outlets.sendCatalog = [this](const Common::node_id& peer, uint64_t version, std::string text) {
            Common::deliver(peers, Membership::reply_catalog { peer, version, std::move(text) });
        };
        outlets.relayChanges = [this](std::vector<Common::node_id> receivers, std::vector<Store::relayed_changes> tables) {
            Common::deliver(peers, Membership::push_table_changes { std::move(receivers), std::move(tables) });
        };
        outlets.requestTableState = [this](const Common::node_id& peer, const Store::state_query& query) { Common::deliver(peers, Membership::pull_table_state { peer, query }); };
        outlets.sendTableState = [this](const Common::node_id& peer, Store::table_state&& state) { Common::deliver(peers, Membership::reply_table_state { peer, std::move(state) }); };
        outlets.sendUsageCounts = [this](const Common::node_id& relay, uint64_t sequence, std::vector<std::pair<std::string, std::string>> rows) {
            Common::deliver(peers, Membership::push_usage_counts { relay, sequence, std::move(rows) });
        };
        outlets.confirmUsageCounts = [this](const Common::node_id& node, uint64_t sequence) {
            Common::deliver(peers, Membership::confirm_usage_counts { node, sequence });
        };
        outlets.broadcastEvidence = [this](const Rollout::broadcast_evidence& evidence) { Common::deliver(peers, Membership::push_evidence { evidence }); };
        outlets.broadcastLatch = [this](const Rollout::broadcast_latch& latch) { Common::deliver(peers, Membership::push_bad_version { latch }); };
        outlets.ownRowRemoved = [this] { rowRemoved.set_value(); };
        return outlets;
    }

    Membership::peer_outlets makePeerOutlets()
    {
        Membership::peer_outlets outlets;
        outlets.publishMembers = [this](const Membership::member_map& currentMembers) { publishMembers(currentMembers); };
        outlets.sendToConfiguration = [this](Configuration::chain_message&& message) {
            const auto* ahead = std::get_if<Configuration::peer_is_ahead>(&message);
            if (ahead)
                Common::deliver(control, Control::catalog_version_announced { ahead->version.value });
        };
        outlets.sendToRollout = [this](Rollout::rollout_message&& message) {
            if (auto* evidence = std::get_if<Rollout::peer_evidence>(&message))
                Common::deliver(control, std::move(*evidence));
            if (auto* latch = std::get_if<Rollout::peer_latch>(&message))
                Common::deliver(control, std::move(*latch));
        };
        // On this platform nodes exchange neither endpoint loads nor requests in flight.
        outlets.sendToEndpoints = [](Endpoints::table_message&&) {};
        outlets.sendToDispatch = [](Dispatch::dispatch_message&&) {};
        outlets.holderLocated = [](const Common::request_id&, const std::string&) {};
        outlets.grantsReceived = [this](Quota::node_report&& report) { Common::deliver(gateway, Gateway::grants_received { std::move(report) }); };
        outlets.demandReceived = [this](Scaling::node_demand&& demand) { Common::deliver(control, Control::peer_demand_received { std::move(demand) }); };
        outlets.startLeavingReceived = [this](const Common::endpoint_id& id, int64_t startedMs) { Common::deliver(control, Control::endpoint_leaving_received { id, { startedMs } }); };
        outlets.catalogRequested = [this](const Common::node_id& peer, uint64_t after) { Common::deliver(control, Control::catalog_requested { peer, after }); };
        outlets.catalogReceived = [this](uint64_t version, std::string&& text) { Common::deliver(control, Control::catalog_received { version, std::move(text) }); };
        outlets.usageCountsReceived = [this](const Common::node_id& peer, uint64_t sequence, std::vector<std::pair<std::string, std::string>>&& rows) {
            Common::deliver(control, Control::usage_counts_received { peer, sequence, std::move(rows) });
        };
        outlets.quarantineStatementReceived = [this](const Common::node_id& peer, const Quarantine::quarantine_statement& statement) {
            Common::deliver(gateway, Gateway::quarantine_statement_received { peer, statement });
        };
        outlets.endpointLimitReceived = [this](const Common::node_id& peer, EndpointLimits::limit_message&& message) {
            Common::deliver(gateway, Gateway::endpoint_limit_received { peer, std::move(message) });
        };
        outlets.leaseReceived = [this](const Common::node_id& peer, Quota::lease_message&& message) {
            Common::deliver(gateway, Gateway::lease_received { peer, std::move(message) });
        };
        outlets.usageCountsConfirmed = [this](uint64_t sequence) { Common::deliver(control, Control::usage_counts_confirmed { sequence }); };
        outlets.tableChangesReceived = [this](const Common::node_id& peer, std::vector<Store::relayed_changes>&& tables) {
            Common::deliver(control, Control::table_changes_received { peer, std::move(tables) });
        };
        outlets.tableStateRequested = [this](const Common::node_id& peer, Store::state_query&& query) { Common::deliver(control, Control::table_state_requested { peer, std::move(query) }); };
        outlets.tableStateReceived = [this](const Common::node_id& peer, Store::table_state&& state) { Common::deliver(control, Control::table_state_received { peer, std::move(state) }); };
        return outlets;
    }

    /// Called on the control duty's thread.
    void publishNodes(const Fleet::node_map& listedNodes)
    {
        Membership::seeds_changed seeds;
        Gateway::peers_update knownPeers;
        for (const auto& [id, entry] : listedNodes) {
            if (entry.isLeaving)
                knownPeers.leaving.insert(id);
            if (id == facts.node)
                continue;
            knownPeers.peers.insert(id);
            seeds.peerAddresses.push_back(entry.peerAddress);
        }
        const auto own = listedNodes.find(facts.node);
        knownPeers.isWholeFleet = own != listedNodes.end() && own->second.incarnation != incarnation;
        // A list without this node's own row was read before the nodes registered, or from a restored store.
        if (own != listedNodes.end() || isLeaving)
            Common::deliver(gateway, std::move(knownPeers));
        Common::deliver(peers, std::move(seeds));
        const std::lock_guard guard(nodesMutex);
        nodes = listedNodes;
        publishDirectory();
    }

    /// Called on the peer duty's thread.
    void publishMembers(const Membership::member_map& currentMembers)
    {
        const std::lock_guard guard(nodesMutex);
        members = currentMembers;
        if (nodes.empty())
            publishPeersWithoutStore();
        publishDirectory();
    }

    /// A node that starts while the store is away learns the others from their messages. The caller must hold nodesMutex.
    void publishPeersWithoutStore()
    {
        Gateway::peers_update knownPeers;
        for (const auto& [id, member] : members) {
            if (member.status != Membership::member_status::Dead)
                knownPeers.peers.insert(id);
        }
        if (!knownPeers.peers.empty())
            Common::deliver(gateway, std::move(knownPeers));
    }

    /// A listed node that the peers do not know counts as reachable for newNodeGracePeriod only. The caller must hold
    /// nodesMutex.
    bool isReachable(const Common::node_id& id)
    {
        const Common::instant now = std::chrono::steady_clock::now();
        const auto member = members.find(id);
        if (member != members.end()) {
            unknownToPeersSince.erase(id);
            return member->second.status == Membership::member_status::Alive;
        }
        const Common::instant since = unknownToPeersSince.try_emplace(id, now).first->second;
        return now - since < newNodeGracePeriod;
    }

    /// Publishes the nodes that the store lists, each marked as reachable or not. The caller must hold nodesMutex.
    void publishDirectory()
    {
        Fleet::node_map reachable = nodes;
        for (auto& [id, entry] : reachable) {
            entry.isReachable = id == facts.node || isReachable(id);
            entry.isLeaving = entry.isLeaving || (id == facts.node && isLeaving);
        }
        publishRelayPeers(reachable);
        directory.setNodes(reachable);
    }

    /// Tells the gateway which other nodes may relay requests. The caller must hold nodesMutex.
    void publishRelayPeers(const Fleet::node_map& current)
    {
        std::vector<Gateway::relay_peer> found;
        for (const auto& [id, entry] : current) {
            if (id != facts.node && entry.isReachable && !entry.isLeaving && !entry.clientAddress.empty())
                found.push_back({ id, entry.clientAddress, entry.zone });
        }
        if (found == relayPeers)
            return;
        relayPeers = found;
        Common::deliver(gateway, Gateway::relay_peers_update { std::move(found) });
    }

    /// Reports nodes that have been dead, or unknown to the peers, for deadNodeRemovalDelay. The caller must hold
    /// nodesMutex.
    void reportDeadNodes()
    {
        const Common::instant now = std::chrono::steady_clock::now();
        Control::dead_nodes_updated deadNodes;
        for (const auto& [id, member] : members) {
            if (member.status != Membership::member_status::Dead) {
                deadSince.erase(id);
                continue;
            }
            const Common::instant since = deadSince.try_emplace(id, now).first->second;
            if (now - since >= deadNodeRemovalDelay)
                deadNodes.nodes.insert(id);
        }
        for (const auto& [id, since] : unknownToPeersSince) {
            if (nodes.contains(id) && now - since >= deadNodeRemovalDelay)
                deadNodes.nodes.insert(id);
        }
        Common::deliver(control, std::move(deadNodes));
    }

    template <typename duty_type>
    void startThread(std::string_view name, duty_type& duty)
    {
        threads.emplace_back(name, [this, name, &duty] {
            try {
                duty.run();
            } catch (const std::exception& error) {
                Common::logEvent(Common::log_level::Error, "duty_failed", { { "duty", name }, { "reason", error.what() } });
                hasFailed = true;
            }
        });
    }
};

platform_node::platform_node(const Fleet::node_facts& facts)
    : m_implementation(std::make_unique<implementation>(facts))
{
}

platform_node::~platform_node() = default;

void platform_node::start()
{
    implementation& self = *m_implementation;
    self.startThread("directory", self.directory);
    self.startThread("gateway", self.gateway);
    self.startThread("control", self.control);
    self.startThread("peers", self.peers);
    Common::logEvent(Common::log_level::Info, "node_started", { { "incarnation", self.incarnation.value }, { "zone", self.facts.zone.value }, { "callers", self.facts.listen.callers } });
}

void platform_node::reload(const Fleet::node_facts& facts)
{
    Common::deliver(m_implementation->control, Control::settings_reloaded { facts });
}

void platform_node::checkPeers()
{
    const std::lock_guard guard(m_implementation->nodesMutex);
    m_implementation->publishDirectory();
    m_implementation->reportDeadNodes();
}

void platform_node::leave()
{
    implementation& self = *m_implementation;
    const Common::instant leaveStart = std::chrono::steady_clock::now();
    const milliseconds grace = self.facts.bounds.grace;
    Common::logEvent(Common::log_level::Info, "node_leaving", { { "grace_ms", grace.count() } });
    self.isLeaving = true;
    const Common::instant end = leaveStart + std::chrono::duration_cast<milliseconds>(grace * maxLeaveShareOfGrace);
    while (!self.gateway.submit(Gateway::leave_started {}) && std::chrono::steady_clock::now() < end) {
        self.directory.setReady(false);
        std::this_thread::sleep_for(submitRetryInterval);
    }
    Common::deliver(self.control, Control::leave_started {});
    Common::deliver(self.peers, Membership::leave_started {});
    self.gatewayEnded.get_future().wait_until(end);
    self.rowRemoved.get_future().wait_until(end);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - leaveStart);
    Common::logEvent(Common::log_level::Info, "node_left", { { "unfinished", self.gateway.inFlight() }, { "ms", elapsed.count() } });
}

void platform_node::stop()
{
    implementation& self = *m_implementation;
    self.control.stop();
    self.peers.stop();
    self.gateway.stop();
    self.directory.stop();
    const Common::instant stopStart = std::chrono::steady_clock::now();
    for (auto& [name, thread] : self.threads) {
        thread.join();
        const auto elapsed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stopStart);
        Common::logEvent(Common::log_level::Info, "duty_stopped", { { "duty", name }, { "ms", elapsed.count() } });
    }
    self.threads.clear();
}

bool platform_node::hasFailed() const
{
    return m_implementation->hasFailed;
}

namespace {

    struct settings_file {
        std::string path;
        std::string text;
    };

    /// @return the facts; std::nullopt when the file can't be read or is invalid, which is logged.
    std::optional<Fleet::node_facts> loadNodeFacts(settings_file& file)
    {
        auto text = PlatformAdapter::readSettingsFile(file.path);
        if (!text) {
            Common::logEvent(Common::log_level::Error, "settings_unreadable", { { "setting", text.error().name }, { "problem", text.error().problem } });
            return {};
        }
        file.text = *text;
        auto facts = PlatformAdapter::parseSettingsFile(file.text);
        if (facts)
            return *facts;
        for (const PlatformAdapter::settings_error& error : facts.error())
            Common::logEvent(Common::log_level::Error, "settings_unreadable", { { "setting", error.name }, { "problem", error.problem } });
        return {};
    }

    sigset_t blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        // Threads started later inherit the mask, so that only this thread receives the signals.
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        // A write to a connection that the caller has closed must not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    /// Reads the file, and again when its content has changed while it can't be read or is invalid: it may be in the
    /// middle of being replaced.
    /// @return the facts; std::nullopt after a stop signal or the last try.
    std::optional<Fleet::node_facts> waitForNodeFacts(settings_file& file, const sigset_t& signals)
    {
        constexpr timespec retryInterval { 0, 200'000'000 };
        constexpr int maxTries = 50;
        auto facts = loadNodeFacts(file);
        for (int tries = 0; !facts && tries < maxTries; ++tries) {
            const int signal = sigtimedwait(&signals, nullptr, &retryInterval);
            if (signal == SIGTERM || signal == SIGINT)
                return {};
            const auto text = PlatformAdapter::readSettingsFile(file.path);
            if (text && *text != file.text)
                facts = loadNodeFacts(file);
        }
        return facts;
    }

    void reloadWhenChanged(settings_file& file, platform_node& node)
    {
        const auto text = PlatformAdapter::readSettingsFile(file.path);
        // A file that can't be read may be in the middle of being replaced; the next check reads it again.
        if (!text || *text == file.text)
            return;
        const auto facts = loadNodeFacts(file);
        if (!facts)
            return;
        Common::logEvent(Common::log_level::Info, "settings_reloaded", { { "bytes", file.text.size() } });
        node.reload(*facts);
    }

} // namespace

int runPlatformNode()
{
    const sigset_t signals = blockSignals();
    const char* path = std::getenv(PlatformAdapter::settingsPathVariable);
    settings_file file { path ? path : "", {} };
    Common::startLogging("starting", Common::log_level::Info);
    const auto facts = waitForNodeFacts(file, signals);
    if (!facts) {
        Common::flushLogs();
        return exitBadSettings;
    }
    Common::startLogging(facts->node.value, Common::log_level::Info);
    platform_node node(*facts);
    node.start();
    constexpr time_t settingsCheckSeconds = 1;
    int signal = 0;
    while (signal != SIGTERM && signal != SIGINT && !node.hasFailed()) {
        const timespec interval { settingsCheckSeconds, 0 };
        signal = sigtimedwait(&signals, nullptr, &interval);
        reloadWhenChanged(file, node);
        node.checkPeers();
    }
    if (!node.hasFailed())
        node.leave();
    Common::logEvent(Common::log_level::Info, "node_stopped", { { "signal", signal }, { "failed", node.hasFailed() } });
    node.stop();
    Common::flushLogs();
    // All threads have ended; the end of libraries' own threads would only delay the next start.
    std::_Exit(node.hasFailed() ? exitFailedToStart : exitOk);
}

} // namespace Filbertreeld
