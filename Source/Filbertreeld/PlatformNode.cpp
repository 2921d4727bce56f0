#include "Filbertreeld/PlatformNode.h"

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

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <map>
#include <mutex>
#include <thread>

namespace Filbertreeld {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds leavePollInterval { 50 };
    /// How long callers may keep an address: short, so that a node that leaves loses them soon.
    constexpr milliseconds addressLife { 1000 };
    /// A node that its peers have found dead for so long has not just been restarted.
    constexpr milliseconds deadBeforeRemoval { 8000 };
    /// Nodes that start together hear of each other within about a second.
    constexpr milliseconds believedUnheard { 3000 };
    /// Part of the grace after which a leaving node ends, whatever is still in progress.
    constexpr double mostOfGrace = 0.93;
    /// Part of the grace during which callers may still hold this node's address.
    constexpr double callersComeShareOfGrace = 0.75;

    Fleet::node_entry makeEntry(const Fleet::node_facts& facts, Common::incarnation_number incarnation)
    {
        Fleet::node_entry entry;
        entry.node = facts.node;
        entry.callersAddress = facts.listen.callers;
        entry.peerAddress = facts.ip + ":" + std::to_string(facts.firstPeerPort);
        entry.zone = facts.zone;
        entry.region = facts.region;
        entry.incarnation = incarnation;
        entry.coreShare = facts.limits.coreShare;
        return entry;
    }

    Membership::peer_settings makePeerSettings(const Fleet::node_facts& facts, Common::incarnation_number incarnation)
    {
        const Fleet::node_entry entry = makeEntry(facts, incarnation);
        Membership::peer_settings made;
        made.self.id = entry.node;
        made.self.peerAddress = entry.peerAddress;
        made.self.httpAddress = entry.callersAddress;
        made.self.zone = entry.zone;
        made.self.region = entry.region;
        made.self.incarnation = incarnation;
        made.listenAddress = entry.peerAddress;
        made.seed = Common::systemSeed();
        return made;
    }

    Directory::directory_settings makeDirectorySettings(const Fleet::node_facts& facts)
    {
        Directory::directory_settings made;
        made.listen = { facts.listen.readiness };
        if (!facts.listen.directory.empty() && facts.listen.directory != facts.listen.readiness)
            made.listen.push_back(facts.listen.directory);
        made.listen.push_back(facts.ip + ":" + std::to_string(facts.lastPeerPort));
        made.addressLife = std::min(addressLife, facts.bounds.longestAddressLife);
        made.format = PlatformAdapter::makeDirectoryFormat();
        return made;
    }

} // namespace

struct platform_node::implementation {
    Fleet::node_facts facts;
    Common::incarnation_number incarnation { static_cast<uint64_t>(Common::wallClockMilliseconds()) };
    Directory::directory_duty directory;
    Gateway::gateway_duty gateway;
    Control::control_duty control;
    Membership::peer_duty peers;
    std::vector<std::thread> threads;
    std::mutex nodesMutex;
    Fleet::node_map nodes; ///< As the store lists them.
    Membership::member_map members; ///< As the peers see them.
    std::map<Common::node_id, Common::instant> deadSince;
    std::map<Common::node_id, Common::instant> unheardSince; ///< Listed in the store, but unknown to the peers.
    std::atomic<bool> isLeaving { false };
    std::atomic<bool> hasFailed { false };

    explicit implementation(const Fleet::node_facts& given)
        : facts(given)
        , directory(makeDirectorySettings(given))
        , gateway({ given, incarnation, PlatformAdapter::makeWireFormat(), Common::systemSeed() }, makeGatewayOutlets())
        , control({ given, makeEntry(given, incarnation), PlatformAdapter::makePlatformCalls(), Common::systemSeed() }, makeControlOutlets())
        , peers(makePeerSettings(given, incarnation), makePeerOutlets())
    {
    }

    Gateway::gateway_outlets makeGatewayOutlets()
    {
        Gateway::gateway_outlets outlets;
        outlets.report = [this](Gateway::interval_report&& report) {
            static_cast<void>(peers.submit(Membership::push_grants { report.grants, report.demand }));
            static_cast<void>(control.submit(Control::interval_seen { std::move(report) }));
        };
        outlets.attemptSeen = [this](Gateway::attempt_seen&& seen) { static_cast<void>(control.submit(std::move(seen))); };
        return outlets;
    }

    Control::control_outlets makeControlOutlets()
    {
        Control::control_outlets outlets;
        outlets.tellGateway = [this](Gateway::gateway_message&& message) {
            if (std::holds_alternative<Gateway::catalog_known>(message) && !isLeaving)
                directory.setReady(true);
            static_cast<void>(gateway.submit(std::move(message)));
        };
        outlets.publishNodes = [this](const Fleet::node_map& nodes) { publishNodes(nodes); };
        outlets.tellPeersLeaving = [this](const Fleet::endpoint& item) { static_cast<void>(peers.submit(Membership::push_leaving { item.id, item.started.value })); };
        outlets.tellPeersCatalog = [this](uint64_t version) { static_cast<void>(peers.submit(Membership::configuration_moved { { version } })); };
        outlets.askPeersCatalog = [this](uint64_t after) { static_cast<void>(peers.submit(Membership::pull_catalog { after })); };
        outlets.givePeerCatalog = [this](const Common::node_id& peer, uint64_t version, std::string text) {
            static_cast<void>(peers.submit(Membership::give_catalog { peer, version, std::move(text) }));
        };
        outlets.tellPeersEvidence = [this](const Rollout::tell_evidence& evidence) { static_cast<void>(peers.submit(Membership::push_evidence { evidence })); };
        outlets.tellPeersLatch = [this](const Rollout::tell_latch& latch) { static_cast<void>(peers.submit(Membership::push_latch { latch })); };
        return outlets;
    }

    Membership::peer_outlets makePeerOutlets()
    {
        Membership::peer_outlets outlets;
        outlets.publishMembers = [this](const Membership::member_map& known) { publishMembers(known); };
        outlets.tellConfiguration = [this](Configuration::chain_message&& message) {
            const auto* ahead = std::get_if<Configuration::peer_is_ahead>(&message);
            if (ahead)
                static_cast<void>(control.submit(Control::newer_catalog_heard { ahead->version.value }));
        };
        outlets.tellRollout = [this](Rollout::rollout_message&& message) {
            if (auto* evidence = std::get_if<Rollout::peer_evidence>(&message))
                static_cast<void>(control.submit(std::move(*evidence)));
            if (auto* latch = std::get_if<Rollout::peer_latch>(&message))
                static_cast<void>(control.submit(std::move(*latch)));
        };
        // Load of endpoints and requests in flight are not passed between nodes here.
        outlets.tellEndpoints = [](Endpoints::table_message&&) {};
        outlets.tellDispatch = [](Dispatch::dispatch_message&&) {};
        outlets.located = [](const Common::request_id&, const std::string&) {};
        outlets.grantsHeard = [this](Quota::node_report&& report) { static_cast<void>(gateway.submit(Gateway::grants_heard { std::move(report) })); };
        outlets.demandHeard = [this](Scaling::node_demand&& demand) { static_cast<void>(control.submit(Control::demand_heard { std::move(demand) })); };
        outlets.startLeavingHeard = [this](const Common::endpoint_id& id, int64_t startedMs) { static_cast<void>(control.submit(Control::leaving_heard { id, { startedMs } })); };
        outlets.catalogAsked = [this](const Common::node_id& peer, uint64_t after) { static_cast<void>(control.submit(Control::catalog_asked { peer, after })); };
        outlets.catalogHeard = [this](uint64_t version, std::string&& text) { static_cast<void>(control.submit(Control::catalog_text_heard { version, std::move(text) })); };
        return outlets;
    }

    /// Called by the control duty.
    void publishNodes(const Fleet::node_map& listed)
    {
        Membership::seeds_known seeds;
        Gateway::peers_known known;
        for (const auto& [id, item] : listed) {
            if (id == facts.node)
                continue;
            known.peers.insert(id);
            seeds.peerAddresses.push_back(item.peerAddress);
        }
        static_cast<void>(gateway.submit(std::move(known)));
        static_cast<void>(peers.submit(std::move(seeds)));
        const std::lock_guard guard(nodesMutex);
        nodes = listed;
        publishDirectory();
    }

    /// Called by the peer duty.
    void publishMembers(const Membership::member_map& known)
    {
        const std::lock_guard guard(nodesMutex);
        members = known;
        publishDirectory();
    }

    /// A node that is listed but has not been heard of by the peers is believed in for a moment only.
    bool isReachable(const Common::node_id& id)
    {
        const Common::instant now = std::chrono::steady_clock::now();
        const auto member = members.find(id);
        if (member != members.end()) {
            unheardSince.erase(id);
            return member->second.status == Membership::member_status::Alive;
        }
        const Common::instant since = unheardSince.try_emplace(id, now).first->second;
        return now - since < believedUnheard;
    }

    /// What the store lists, less what the peers do not reach. The caller holds the mutex.
    void publishDirectory()
    {
        Fleet::node_map reachable = nodes;
        for (auto& [id, item] : reachable) {
            item.isReachable = id == facts.node || isReachable(id);
            item.isLeaving = item.isLeaving || (id == facts.node && isLeaving);
        }
        directory.setNodes(reachable);
    }

    /// The caller holds the mutex.
    void tellDeadNodes()
    {
        const Common::instant now = std::chrono::steady_clock::now();
        Control::dead_nodes_known dead;
        for (const auto& [id, item] : members) {
            if (item.status != Membership::member_status::Dead) {
                deadSince.erase(id);
                continue;
            }
            const Common::instant since = deadSince.try_emplace(id, now).first->second;
            if (now - since >= deadBeforeRemoval)
                dead.nodes.insert(id);
        }
        for (const auto& [id, since] : unheardSince) {
            if (nodes.contains(id) && now - since >= deadBeforeRemoval)
                dead.nodes.insert(id);
        }
        static_cast<void>(control.submit(std::move(dead)));
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
    static_cast<void>(m_implementation->control.submit(Control::settings_changed { facts }));
}

void platform_node::checkPeers()
{
    const std::lock_guard guard(m_implementation->nodesMutex);
    m_implementation->publishDirectory();
    m_implementation->tellDeadNodes();
}

void platform_node::leave()
{
    implementation& self = *m_implementation;
    const Common::instant begun = std::chrono::steady_clock::now();
    const milliseconds grace = self.facts.bounds.grace;
    Common::logEvent(Common::log_level::Info, "node_leaving", { { "grace_ms", grace.count() } });
    self.isLeaving = true;
    self.directory.setReady(false);
    static_cast<void>(self.control.submit(Control::leave_begun {}));
    static_cast<void>(self.gateway.submit(Gateway::leave_begun {}));
    static_cast<void>(self.peers.submit(Membership::leave_begun {}));
    const auto elapsedShare = [&] { return (std::chrono::steady_clock::now() - begun) / std::chrono::duration<double>(grace); };
    while (elapsedShare() < callersComeShareOfGrace)
        std::this_thread::sleep_for(leavePollInterval);
    while (elapsedShare() < mostOfGrace && self.gateway.inFlight() > 0)
        std::this_thread::sleep_for(leavePollInterval);
    static_cast<void>(self.control.submit(Control::leave_ended {}));
    std::this_thread::sleep_for(2 * leavePollInterval);
    Common::logEvent(Common::log_level::Info, "node_left", { { "unfinished", self.gateway.inFlight() } });
}

void platform_node::stop()
{
    implementation& self = *m_implementation;
    self.control.stop();
    self.peers.stop();
    self.gateway.stop();
    self.directory.stop();
    for (std::thread& thread : self.threads)
        thread.join();
    self.threads.clear();
}

bool platform_node::hasFailed() const
{
    return m_implementation->hasFailed;
}

namespace {

    struct settings_source {
        std::string path;
        std::string text;
    };

    /// @return the facts, or nothing after the faults were logged.
    std::optional<Fleet::node_facts> readFacts(settings_source& source)
    {
        auto text = PlatformAdapter::readSettingsFile(source.path);
        if (!text) {
            Common::logEvent(Common::log_level::Error, "settings_unreadable", { { "setting", text.error().name }, { "problem", text.error().problem } });
            return {};
        }
        source.text = *text;
        auto facts = PlatformAdapter::parseSettingsFile(source.text);
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
        // Threads inherit the mask, so that only this thread takes the signals.
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        // A caller that closes its connection must not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    /// A file that is being replaced while the process starts is readable a moment later.
    std::optional<Fleet::node_facts> awaitFacts(settings_source& source, const sigset_t& signals)
    {
        constexpr timespec pause { 0, 200'000'000 };
        constexpr int mostTries = 50;
        auto facts = readFacts(source);
        for (int tries = 0; !facts && tries < mostTries; ++tries) {
            const int signal = sigtimedwait(&signals, nullptr, &pause);
            if (signal == SIGTERM || signal == SIGINT)
                return {};
            const auto text = PlatformAdapter::readSettingsFile(source.path);
            if (text && *text != source.text)
                facts = readFacts(source);
        }
        return facts;
    }

    void reloadWhenChanged(settings_source& source, platform_node& node)
    {
        const auto text = PlatformAdapter::readSettingsFile(source.path);
        // A file that is being replaced is looked at again in a moment.
        if (!text || *text == source.text)
            return;
        const auto facts = readFacts(source);
        if (!facts)
            return;
        Common::logEvent(Common::log_level::Info, "settings_reloaded", { { "bytes", source.text.size() } });
        node.reload(*facts);
    }

} // namespace

int runPlatformNode()
{
    const sigset_t signals = blockSignals();
    const char* path = std::getenv(PlatformAdapter::settingsPathVariable);
    settings_source source { path ? path : "", {} };
    Common::startLogging("starting", Common::log_level::Info);
    const auto facts = awaitFacts(source, signals);
    if (!facts) {
        Common::flushLogs();
        return exitBadSettings;
    }
    Common::startLogging(facts->node.value, Common::log_level::Info);
    platform_node node(*facts);
    node.start();
    constexpr time_t settingsLookSeconds = 1;
    int signal = 0;
    while (signal != SIGTERM && signal != SIGINT && !node.hasFailed()) {
        const timespec interval { settingsLookSeconds, 0 };
        signal = sigtimedwait(&signals, nullptr, &interval);
        reloadWhenChanged(source, node);
        node.checkPeers();
    }
    if (!node.hasFailed())
        node.leave();
    Common::logEvent(Common::log_level::Info, "node_stopped", { { "signal", signal }, { "failed", node.hasFailed() } });
    node.stop();
    Common::flushLogs();
    return node.hasFailed() ? exitFailedToStart : exitOk;
}

} // namespace Filbertreeld
