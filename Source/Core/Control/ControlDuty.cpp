#include "Control/ControlDuty.h"

#include "Common/BootClock.h"
#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Control/ControlContext.h"
#include "Control/EndpointOrders.h"
#include "Control/NodeRows.h"
#include "Control/QuarantineRows.h"
#include "Control/RolloutRunner.h"
#include "Control/StoreCallIntervals.h"
#include "Control/TablePulls.h"
#include "Control/TableRelay.h"
#include "Control/UsageRelay.h"
#include "Store/TableWatch.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace Control {

namespace {

    constexpr size_t ringCapacity = 4096;
    constexpr milliseconds maxPollTime { 200 };
    constexpr const char* nodeTable = "nodes";
    constexpr uint64_t nonceBits = 48;
    /// Between two requests to peers for a catalog that they have announced.
    constexpr milliseconds catalogRequestInterval { 200 };
    /// How long a node that follows the store is behind a version of its peers before it reads the whole table.
    constexpr milliseconds refreshDelay { 1000 };

} // namespace

struct control_duty::implementation {
    control_context context;
    control_outlets outlets;
    usage_tracker usage { context };
    endpoint_orders orders { context };
    control_inbox inbox { ringCapacity };
    std::vector<control_message> batch;
    std::atomic<bool> isStopping { false };

    Store::table_watch operatorWatch;
    Store::table_watch endpointWatch;
    node_rows nodeRows { context };
    Store::table_watch statusWatch; ///< Polled only while a rollout is in progress.
    table_relay relay;
    std::set<std::string> missedTables; ///< Tables of which the relay's last changes couldn't be applied.
    quarantine_rows quarantines { context, outlets };
    std::pair<Store::store_era, Store::row_version> decodedCatalogRow; ///< The last row of the catalog that the store had.
    uint64_t announcedVersion { 0 }; ///< Of the catalog, the newest that a peer has announced.
    Common::instant announcedAt; ///< When it was announced first, or the table was last read for it.
    Common::instant nextCatalogRequest;
    bool isCatalogHeld { false }; ///< The gateway gets it once the quarantined fingerprints are known.
    usage_relay usageRelay { context, outlets, usage };
    table_pulls pulls { context, outlets };
    std::string catalogText; ///< The catalog in the platform's format, for peers that can't reach the store.
    bool wasHolder { false };
    uint64_t publishedFleetSize { 0 };
    rollout_runner rollouts { context, outlets };

    // --- Watched tables

    void follow(Store::table_watch& watch, void (implementation::*onChange)())
    {
        const auto query = Store::nextQuery(watch, Common::bootClockNow());
        if (!query)
            return;
        Http::outgoing_request request = std::holds_alternative<Store::range>(*query)
            ? context.settings.calls.rows(context.storeAddress(), std::get<Store::range>(*query))
            : context.settings.calls.changes(context.storeAddress(), std::get<Store::change_query>(*query));
        context.call(std::move(request), [this, &watch, onChange](const Store::rows_answer& answer) {
            const Store::watch_event event = Store::handleAnswer(watch, answer, Common::bootClockNow());
            recordAnswer(relay, watch, answer, event, Common::bootClockNow());
            handleWatchEvent(watch, event, answer);
            if (event.hasChanged)
                (this->*onChange)();
        });
    }

    void handleWatchEvent(const Store::table_watch& watch, const Store::watch_event& event, const Store::rows_answer& answer)
    {
        if (event.hasFailed)
            Common::logEvent(Common::log_level::Warning, "store_lost", { { "table", watch.settings.table }, { "newest", watch.newest.value }, { "received_bytes", answer.receivedBytes }, { "call_ms", answer.elapsed.count() }, { "relay_heard_ms", relayHeardAge().count() }, { "copy_age_ms", copyAge(watch).count() } });
        if (!event.hasReturned)
            return;
        Common::logEvent(Common::log_level::Info, "store_regained", { { "table", watch.settings.table }, { "newest", watch.newest.value } });
        if (event.wasAway && &watch == &endpointWatch)
            Fleet::startMissingEntryGrace(context.endpoints, Common::bootClockNow());
    }

    /// @return time since this node last heard a relay of its zone, or since its start.
    milliseconds relayHeardAge() const
    {
        return std::chrono::duration_cast<milliseconds>(Common::bootClockNow() - relay.betterHeardAt);
    }

    /// Other rows of the operator's table change more often than the catalog, which takes long to decode.
    void applyStoredCatalog()
    {
        const auto found = operatorWatch.rows.find(context.settings.calls.catalogKey);
        if (found == operatorWatch.rows.end())
            return;
        const std::pair<Store::store_era, Store::row_version> state { operatorWatch.era, found->second.version };
        if (std::exchange(decodedCatalogRow, state) != state)
            applyCatalog(operatorWatch.rows, "store");
    }

    void applyEvacuations()
    {
        std::set<Common::zone_name> zones = context.settings.calls.evacuatedZones(operatorWatch.rows);
        if (zones == orders.planState.evacuated)
            return;
        orders.planState.evacuated = zones;
        outlets.sendToGateway(Gateway::evacuations_update { std::move(zones) });
        // Before the first listing nothing is known of any version.
        if (!context.endpoints.endpoints.empty())
            updateReadyVersions();
    }

    void operatorRowsChanged()
    {
        // Before the catalog, with which a node that has just started begins to serve.
        applyEvacuations();
        applyStoredCatalog();
        perform(rollouts, applyOrders(rollouts.tracker, context.settings.calls.rollouts(operatorWatch.rows), operatorWatch.rows, Common::bootClockNow()));
    }

    void statusRowsChanged() { readStatusRows(rollouts, statusWatch.rows); }

    // --- The catalog

    void applyCatalog(const std::map<std::string, Store::row>& rows, const char* source)
    {
        const Common::instant begun = Common::bootClockNow();
        const auto newer = context.settings.calls.catalog(rows, context.catalog ? context.catalog->version : 0);
        if (!newer)
            return;
        context.catalog = newer;
        const Store::row& text = rows.at(context.settings.calls.catalogKey);
        catalogText = text.value;
        const auto parsing = std::chrono::duration_cast<milliseconds>(Common::bootClockNow() - begun);
        Common::logEvent(Common::log_level::Info, "catalog_read", { { "version", context.catalog->version }, { "row_version", text.version.value }, { "bytes", catalogText.size() }, { "parse_ms", parsing.count() }, { "relay_heard_ms", relayHeardAge().count() }, { "source", source } });
        isCatalogHeld = true;
        releaseCatalog(Common::bootClockNow());
        outlets.announceCatalog(context.catalog->version);
    }

    void releaseCatalog(Common::instant now)
    {
        if (!isCatalogHeld || !mayServe(quarantines, now))
            return;
        isCatalogHeld = false;
        outlets.sendToGateway(Gateway::catalog_update { context.catalog });
    }

    void endpointRowsChanged()
    {
        const Fleet::listing listing = context.settings.calls.endpoints(endpointWatch.rows);
        const auto changes = Fleet::applyListing(context.endpoints, listing, Common::bootClockNow());
        for (const Fleet::endpoint_change& change : changes)
            publishEndpointChange(change, "store");
        publishEndpoints();
    }

    void publishEndpoints()
    {
        outlets.sendToGateway(Gateway::endpoints_update { context.endpoints.endpoints });
        updateReadyVersions();
    }

    void updateReadyVersions()
    {
        perform(rollouts, evaluate(rollouts.tracker, listReadyVersions(context.endpoints.endpoints, orders.planState.evacuated), Common::bootClockNow()));
    }

    void dropMissingEndpoints(Common::instant now)
    {
        const auto changes = Fleet::removeExpiredMissing(context.endpoints, now);
        for (const Fleet::endpoint_change& change : changes)
            publishEndpointChange(change, "not_returned");
        if (!changes.empty())
            publishEndpoints();
    }

    void publishEndpointChange(const Fleet::endpoint_change& change, const char* source)
    {
        Common::logEvent(Common::log_level::Info, "endpoint_changed", { { "endpoint", change.item.id.value }, { "change", Fleet::nameOf(change.kind) }, { "service", change.item.service.value }, { "zone", change.item.zone.value }, { "reclaimable", change.item.isReclaimable }, { "version", change.item.version.value }, { "source", source }, { "row_version", endpointWatch.newest.value } });
        if (change.kind == Fleet::change_kind::BeganLeaving)
            outlets.broadcastLeaving(change.item);
        if (change.kind != Fleet::change_kind::Appeared)
            Scaling::recordEndpointLoss(orders.orders, { change.item.service, change.item.zone, change.item.isReclaimable }, Common::bootClockNow());
    }

    void nodeRowsChanged()
    {
        readNodeRows(nodeRows);
        context.lease.knownNodes = context.nodes.size();
        relay.ranking = rankRelays(context.nodes, context.settings.self.zone);
        updateCallIntervals();
        perform(rollouts, evaluate(rollouts.tracker, Rollout::node_count_changed { context.nodes.size() }, Common::bootClockNow()));
        outlets.publishNodes(context.nodes);
    }

    void updateCallIntervals()
    {
        const store_call_intervals intervals = callIntervalsFor(context.nodes.size(), context.settings.facts.bounds);
        const Common::instant now = Common::bootClockNow();
        applyIntervals(operatorWatch, intervals.catalog, relay.isRelay, now);
        // The lease holder orders endpoints, so it needs their newest state.
        applyIntervals(endpointWatch, intervals.endpoints, relay.isRelay || context.lease.isHeld, now);
        applyIntervals(nodeRows.watch, intervals.nodes, relay.isRelay, now);
        applyIntervals(statusWatch, intervals.statuses, relay.isRelay, now);
        for (Store::table_watch* watch : followedTables())
            watch->settings.maxRetryDelay = intervals.maxRetryDelay;
        context.lease.settings.watchInterval = leaseWatchInterval(leaseWatchRank());
    }

    std::array<Store::table_watch*, 4> followedTables()
    {
        return { &operatorWatch, &endpointWatch, &nodeRows.watch, &statusWatch };
    }

    // --- The era of the store

    void eraRisen()
    {
        const Common::instant now = Common::bootClockNow();
        for (Store::table_watch* watch : followedTables())
            Store::beginEra(*watch, context.era, now);
        Lease::beginEra(context.lease, context.era, now);
        handleHolderChange();
        beginEra(usage);
        beginEra(quarantines);
        beginEra(rollouts.tracker);
        nodeRows.isRegistered = false;
        nodeRows.nextRegistration = {};
        // Entries that the backup lacks are written again by their endpoints.
        Fleet::startMissingEntryGrace(context.endpoints, now);
    }

    // --- Relaying of the tables in this zone

    void updateRelayRole(Common::instant now)
    {
        if (!updateRole(relay, context.settings.self.node, now))
            return;
        Common::logEvent(Common::log_level::Info, "relay_role_changed", { { "is_relay", relay.isRelay }, { "zone_nodes", relay.ranking.size() } });
        const auto tables = followedTables();
        resetOutboxes(relay, { tables.begin(), tables.end() });
        updateCallIntervals();
    }

    void relayChanges(Common::instant now)
    {
        const auto tables = followedTables();
        auto announcements = takeAnnouncements(relay, { tables.begin(), tables.end() }, now);
        std::vector<Common::node_id> receivers;
        for (const auto& [id, entry] : context.nodes) {
            if (id != context.settings.self.node && entry.zone == context.settings.self.zone)
                receivers.push_back(id);
        }
        if (!announcements.empty() && !receivers.empty())
            outlets.relayChanges(std::move(receivers), std::move(announcements));
    }

    void handle(table_changes_received&& message)
    {
        const Common::instant now = Common::bootClockNow();
        recordRelayHeard(relay, context.settings.self.node, message.from, now);
        if (!context.storeClock)
            return;
        for (const Store::relayed_changes& changes : message.tables)
            applyTableChanges(changes, message.from, now);
    }

    void applyTableChanges(const Store::relayed_changes& changes, const Common::node_id& from, Common::instant now)
    {
        Store::table_watch* watch = findTable(changes.table);
        // A relay has its own copies from the store, unless the store doesn't answer it.
        if (!watch || (relay.isRelay && !watch->isFailing))
            return;
        if (watch == &endpointWatch && changes.returnedAt.value > 0)
            Fleet::startMissingEntryGrace(context.endpoints, localTimeOf(*context.storeClock, changes.returnedAt));
        logMissedChanges(*watch, changes, from);
        const bool hasChanged = Store::applyRelayed(*watch, changes, localTimeOf(*context.storeClock, changes.confirmedAt), now);
        peerStateApplied(*watch, hasChanged);
    }

    void peerStateApplied(const Store::table_watch& watch, bool hasChanged)
    {
        // What a relay has from others is no change that it has read itself.
        if (relay.isRelay && hasChanged)
            resetOutbox(relay.outboxes[watch.settings.table], watch);
        if (hasChanged)
            tableChanged(watch);
    }

    void handle(table_state_requested&& message)
    {
        const Store::table_watch* watch = findTable(message.query.table);
        if (watch)
            answerPeer(pulls, *watch, message);
    }

    void handle(table_state_received&& message)
    {
        const Store::relayed_changes& changes = message.state.changes;
        Store::table_watch* watch = findTable(changes.table);
        if (!watch || !context.storeClock)
            return;
        if (watch == &endpointWatch && changes.returnedAt.value > 0)
            Fleet::startMissingEntryGrace(context.endpoints, localTimeOf(*context.storeClock, changes.returnedAt));
        const bool hasChanged = Store::applyState(*watch, message.state, localTimeOf(*context.storeClock, changes.confirmedAt), Common::bootClockNow());
        if (hasChanged) {
            missedTables.erase(changes.table);
            Common::logEvent(Common::log_level::Info, "table_state_applied", { { "table", changes.table }, { "from", message.from.value }, { "newest", changes.newest.value }, { "store_answers", !watch->isFailing } });
        }
        peerStateApplied(*watch, hasChanged);
    }

    Store::table_watch* findTable(const std::string& name)
    {
        const auto tables = followedTables();
        const auto found = std::find_if(tables.begin(), tables.end(), [&name](const Store::table_watch* watch) { return watch->settings.table == name; });
        return found == tables.end() ? nullptr : *found;
    }

    void tableChanged(const Store::table_watch& watch)
    {
        if (&watch == &operatorWatch)
            operatorRowsChanged();
        else if (&watch == &endpointWatch)
            endpointRowsChanged();
        else if (&watch == &nodeRows.watch)
            nodeRowsChanged();
        else
            statusRowsChanged();
    }

    /// Logs why a relay's changes can't be applied, once until some are applied again.
    void logMissedChanges(const Store::table_watch& watch, const Store::relayed_changes& changes, const Common::node_id& from)
    {
        const Store::change_fit fit = Store::fitOf(watch, changes);
        if (fit == Store::change_fit::Applies) {
            missedTables.erase(watch.settings.table);
            return;
        }
        if (missedTables.insert(watch.settings.table).second)
            Common::logEvent(Common::log_level::Warning, "relayed_changes_missed", { { "table", watch.settings.table }, { "reason", Store::nameOf(fit) }, { "from", from.value }, { "after", changes.after.value }, { "newest", watch.newest.value }, { "copy_age_ms", copyAge(watch).count() }, { "store_answers", !watch.isFailing } });
    }

    /// @return time since the copy was last known to be current.
    static milliseconds copyAge(const Store::table_watch& watch)
    {
        return std::chrono::duration_cast<milliseconds>(Common::bootClockNow() - watch.confirmedAt);
    }

    void publishCopyAges()
    {
        for (const Store::table_watch* watch : followedTables()) {
            if (watch->confirmedAt != Common::instant {})
                Common::setMetric(fmt::format("filbertreel_table_copy_age_seconds{{table=\"{}\"}}", watch->settings.table), std::chrono::duration<double>(copyAge(*watch)).count());
        }
    }

    /// @return this node's rank, from 0, among the nodes that are not leaving. All nodes compute the same ranking, so
    /// they agree on which of them poll the lease often.
    size_t leaseWatchRank() const
    {
        const std::string& self = context.settings.self.node.value;
        const uint64_t own = Common::rendezvousScore("lease", self);
        return static_cast<size_t>(std::count_if(context.nodes.begin(), context.nodes.end(), [own, &self](const auto& entry) {
            return entry.first.value != self && !entry.second.isLeaving && Common::rendezvousScore("lease", entry.first.value) > own;
        }));
    }

    // --- The lease

    void maintainLease(Common::instant now)
    {
        const auto next = Lease::nextCall(context.lease, now);
        if (!next)
            return;
        Http::outgoing_request request = std::holds_alternative<Store::range>(*next)
            ? context.settings.calls.rows(context.storeAddress(), std::get<Store::range>(*next))
            : context.settings.calls.transaction(context.storeAddress(), std::get<Store::transaction>(*next));
        context.call(std::move(request), [this](const Store::rows_answer& answer) {
            Lease::handleAnswer(context.lease, answer, Common::bootClockNow());
            publishFleetSize();
            handleHolderChange();
        });
    }

    void publishFleetSize()
    {
        const uint64_t nodes = context.lease.lastSeen ? context.lease.lastSeen->nodes : 0;
        if (nodes == 0 || nodes == publishedFleetSize)
            return;
        publishedFleetSize = nodes;
        outlets.sendToGateway(Gateway::fleet_size_update { nodes });
    }

    void handleHolderChange()
    {
        if (context.lease.isHeld == wasHolder)
            return;
        wasHolder = context.lease.isHeld;
        updateCallIntervals();
        // The previous holder may have sent orders and reports.
        if (context.lease.isHeld) {
            Scaling::resetForNewTenure(orders.planState, orders.orders);
            resetReporter(usage.reporter);
        }
        Common::logEvent(Common::log_level::Info, context.lease.isHeld ? "lease_taken" : "lease_lost", { { "fence", context.lease.fence.value } });
    }

    void runHolderTasks(Common::instant now)
    {
        const bool mayAct = Lease::mayAct(context.lease, now);
        if (!mayAct)
            return;
        reportUsage(usage, now);
        orderEndpoints(orders, activeServices(rollouts.tracker), now);
        reportRollouts(rollouts);
        removeDeadNodes(nodeRows);
    }

    // --- Messages

    void handle(gateway_interval_reported&& message)
    {
        for (Usage::begun_request& request : message.report.begun)
            usage.unassigned.push_back(std::move(request));
        Scaling::recordDemand(orders.demand, message.report.demand, Common::bootClockNow());
    }

    void handle(peer_demand_received&& message)
    {
        Scaling::recordDemand(orders.demand, message.demand, Common::bootClockNow());
    }

    void handle(endpoint_leaving_received&& message)
    {
        const auto change = Fleet::markLeaving(context.endpoints, message.endpoint, message.started);
        if (!change)
            return;
        publishEndpointChange(*change, message.source);
        publishEndpoints();
    }

    void handle(catalog_version_announced&& message)
    {
        if (context.catalog && message.version <= context.catalog->version)
            return;
        const Common::instant now = Common::bootClockNow();
        if (message.version > announcedVersion) {
            announcedVersion = message.version;
            announcedAt = now;
        }
        // The store may be unreachable from this node only, or its change feed may have stalled.
        if (now >= nextCatalogRequest)
            outlets.requestCatalog(context.catalog ? context.catalog->version : 0);
        nextCatalogRequest = std::max(nextCatalogRequest, now + catalogRequestInterval);
    }

    /// A full read by a relay makes all nodes of its zone read the table, so its own query gets time to bring the version.
    void refreshIfBehind(Common::instant now)
    {
        const bool isBehind = context.catalog && context.catalog->version < announcedVersion;
        if (!isBehind || now - announcedAt < refreshDelay)
            return;
        announcedAt = now;
        const bool hearsRelay = !relay.isRelay && currentRelay(relay, context.settings.self.node, now);
        operatorWatch.isRefreshRequested = operatorWatch.isRefreshRequested || !hearsRelay;
    }

    void handle(catalog_received&& message)
    {
        if (context.catalog && message.version <= context.catalog->version)
            return;
        Store::row row;
        row.name = { context.settings.calls.operatorTable, "", context.settings.calls.catalogKey };
        row.value = std::move(message.text);
        applyCatalog({ { context.settings.calls.catalogKey, std::move(row) } }, "peer");
    }

    void handle(catalog_requested&& message)
    {
        if (context.catalog && context.catalog->version > message.after)
            outlets.sendCatalog(message.peer, context.catalog->version, catalogText);
    }

    void handle(usage_counts_received&& message) { addRelayedCounts(usageRelay, std::move(message), Common::bootClockNow()); }

    void handle(usage_counts_confirmed&& message) { confirmCounts(usage, { message.sequence }); }

    void handle(dead_nodes_updated&& message)
    {
        nodeRows.deadNodes = std::move(message.nodes);
    }

    void handle(quarantines_changed&& message) { addChanges(quarantines, message.changes); }

    void handle(leave_finished&&)
    {
        removeSelf(nodeRows, outlets.ownRowRemoved);
    }

    void handle(leave_started&&)
    {
        markSelfLeaving(nodeRows);
        context.lease.isResigning = true;
    }

    void handle(settings_reloaded&& message)
    {
        context.settings.facts.store = message.facts.store;
        context.settings.facts.cloud = message.facts.cloud;
    }

    void handle(Gateway::attempt_report&& message) { perform(rollouts, evaluate(rollouts.tracker, toObservedAttempt(message), Common::bootClockNow())); }

    void handle(Rollout::peer_evidence&& message) { perform(rollouts, evaluate(rollouts.tracker, std::move(message), Common::bootClockNow())); }

    void handle(Rollout::peer_latch&& message) { perform(rollouts, evaluate(rollouts.tracker, std::move(message), Common::bootClockNow())); }

    void handleMessages()
    {
        inbox.drainInto(batch);
        for (control_message& message : batch)
            std::visit([this](auto& item) { handle(std::move(item)); }, message);
    }

    void step()
    {
        handleMessages();
        const Common::instant now = Common::bootClockNow();
        updateRelayRole(now);
        maintain(quarantines, now);
        releaseCatalog(now);
        refreshIfBehind(now);
        follow(operatorWatch, &implementation::operatorRowsChanged);
        follow(endpointWatch, &implementation::endpointRowsChanged);
        follow(nodeRows.watch, &implementation::nodeRowsChanged);
        if (isActive(rollouts.tracker))
            follow(statusWatch, &implementation::statusRowsChanged);
        relayChanges(now);
        queryPeers(pulls, { &operatorWatch, &endpointWatch }, currentRelay(relay, context.settings.self.node, now), now);
        publishCopyAges();
        tickRollouts(rollouts, now);
        dropMissingEndpoints(now);
        registerSelf(nodeRows, now);
        assignRequests(usage, now);
        writeUsageCounts(usageRelay, currentRelay(relay, context.settings.self.node, now), now);
        writeRelayedCounts(usageRelay, now);
        maintainLease(now);
        runHolderTasks(now);
    }
};

control_duty::control_duty(control_settings settings, control_outlets outlets)
    : m_implementation(std::make_unique<implementation>())
{
    implementation& self = *m_implementation;
    self.context.settings = std::move(settings);
    self.outlets = std::move(outlets);
    self.operatorWatch.settings.table = self.context.settings.calls.operatorTable;
    self.endpointWatch.settings.table = self.context.settings.calls.endpointTable;
    self.statusWatch.settings.table = self.context.settings.calls.statusTable;
    self.nodeRows.watch.settings.table = nodeTable;
    self.context.onNewEra = [&self] { self.eraRisen(); };
    self.updateCallIntervals();
    self.rollouts.tracker = makeRolloutTracker(self.context.settings.facts.bounds.exposureShare, self.context.settings.facts.bounds.exposureSlack);
    self.context.lease.settings.self = self.context.settings.self.node;
    self.context.lease.settings.duration = std::max(self.context.lease.settings.duration, self.context.settings.facts.bounds.lease + milliseconds(600));
    self.context.lease.lastNonce = self.context.settings.seed & ((uint64_t { 1 } << nonceBits) - 1);
    self.usage.counter.windowLength = self.context.settings.facts.bounds.usageWindow;
    self.usage.reporter.windowLength = self.context.settings.facts.bounds.usageWindow;
    self.usage.reporter.due = self.context.settings.facts.bounds.usageReportDeadline;
    self.inbox.setWaker([&self] { self.context.client.wake(); });
}

control_duty::~control_duty() = default;

bool control_duty::submit(control_message&& message)
{
    return m_implementation->inbox.push(message);
}

void control_duty::run()
{
    while (!m_implementation->isStopping) {
        m_implementation->step();
        m_implementation->context.client.poll(maxPollTime);
    }
}

void control_duty::stop()
{
    m_implementation->isStopping = true;
    m_implementation->context.client.wake();
}

} // namespace Control
