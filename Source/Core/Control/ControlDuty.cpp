#include "Control/ControlDuty.h"

#include "Common/BootClock.h"
#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Ring.h"
#include "Control/ControlContext.h"
#include "Control/EndpointOrders.h"
#include "Control/NodeRows.h"
#include "Control/RolloutKeeper.h"
#include "Control/UsageKeeper.h"
#include "Store/TableWatch.h"

#include <algorithm>
#include <atomic>

namespace Control {

namespace {

    constexpr size_t ringCapacity = 4096;
    constexpr milliseconds longestPoll { 200 };
    constexpr milliseconds nodesWait { 8000 };
    constexpr milliseconds statusWait { 1500 };
    /// So many nodes watch the lease closely; the others look now and then.
    constexpr size_t closeWatchers = 2;
    constexpr milliseconds closeWatchInterval { 1500 };
    constexpr milliseconds distantWatchInterval { 9000 };
    constexpr const char* nodeTable = "nodes";
    constexpr uint64_t nonceBits = 48;
    constexpr milliseconds rolloutTickInterval { 200 };

} // namespace

struct control_duty::implementation {
    control_context context;
    usage_keeper usage { context };
    endpoint_orders orders { context };
    control_outlets outlets;
    Common::ring<control_message> inbox { ringCapacity };
    std::vector<control_message> batch;
    std::atomic<bool> isStopping { false };

    Store::table_watch operatorWatch;
    Store::table_watch endpointWatch;
    node_rows nodeRows { context };
    Store::table_watch statusWatch; ///< Followed only while a rollout is known.
    std::string catalogText; ///< In the platform's form, for peers that can't reach the store.
    bool wasHolder { false };
    rollout_keeper rollouts;
    Common::instant nextRolloutTick;

    // --- Tables that are followed

    void follow(Store::table_watch& watch, void (implementation::*onChange)())
    {
        const auto query = Store::nextQuery(watch, Common::bootClockNow());
        if (!query)
            return;
        Http::outgoing_request request = std::holds_alternative<Store::range>(*query)
            ? context.settings.calls.rows(context.storeAddress(), std::get<Store::range>(*query))
            : context.settings.calls.changes(context.storeAddress(), std::get<Store::change_query>(*query));
        context.call(std::move(request), [this, &watch, onChange](const Store::rows_answer& answer) {
            const Store::watch_event event = Store::takeAnswer(watch, answer, Common::bootClockNow());
            noteDependency(watch, event);
            if (event.hasChanged)
                (this->*onChange)();
        });
    }

    void noteDependency(const Store::table_watch& watch, const Store::watch_event& event)
    {
        if (event.hasFailed)
            Common::logEvent(Common::log_level::Warning, "store_lost", { { "table", watch.settings.table }, { "newest", watch.newest.value } });
        if (!event.hasReturned)
            return;
        Common::logEvent(Common::log_level::Info, "store_regained", { { "table", watch.settings.table }, { "newest", watch.newest.value } });
        if (&watch == &endpointWatch)
            Fleet::noteStoreReturned(context.endpoints, Common::bootClockNow());
    }

    void operatorRowsChanged()
    {
        adoptCatalog(operatorWatch.rows, "store");
        perform(noteOrders(rollouts, context.settings.calls.rollouts(operatorWatch.rows), operatorWatch.rows, Common::bootClockNow()));
    }

    void statusRowsChanged()
    {
        for (const auto& [service, item] : std::map(rollouts.rollouts)) {
            for (const auto& [key, row] : statusWatch.rows) {
                const auto status = context.settings.calls.readRolloutStatus(row, item.order);
                // The row of an earlier rollout to the same version is older than the order.
                if (status && key.ends_with("/" + service.value) && row.version > item.orderVersion)
                    perform(noteReported(rollouts, service, *status, Common::bootClockNow()));
            }
        }
    }

    // --- Rollouts

    void perform(const keeper_actions& actions)
    {
        for (const Rollout::rollout_action& action : actions)
            std::visit([this](const auto& item) { perform(item); }, action);
    }

    void perform(const Rollout::publish_shares& action)
    {
        for (const auto& [version, share] : action.shares) {
            Common::logEvent(Common::log_level::Info, "version_share", { { "service", action.service }, { "version", version.value }, { "thousandths", share } });
            outlets.tellGateway(Gateway::version_share_known { { action.service }, version, share });
        }
        // Without shares, the version that was rolled out is the current one.
        const auto done = rollouts.rollouts.find({ action.service });
        if (action.shares.empty() && done != rollouts.rollouts.end())
            outlets.tellGateway(Gateway::version_share_known { { action.service }, done->second.order.to, 1000 });
    }

    void perform(const Rollout::tell_evidence& action) { outlets.tellPeersEvidence(action); }

    void perform(const Rollout::tell_latch& action)
    {
        Common::logEvent(Common::log_level::Warning, "version_latched", { { "service", action.key.service }, { "version", action.key.version.value }, { "cause", action.cause } });
        outlets.tellPeersLatch(action);
    }

    void perform(const Rollout::propose_end& action) { noteProposal(rollouts, action); }

    void tickRollouts(Common::instant now)
    {
        if (!isActive(rollouts) || now < nextRolloutTick)
            return;
        nextRolloutTick = now + rolloutTickInterval;
        perform(judge(rollouts, Rollout::rollout_tick {}, now));
    }

    void reportRollouts()
    {
        const auto report = nextReport(rollouts);
        if (!report)
            return;
        Store::transaction write;
        write.writes.push_back(context.settings.calls.rolloutStatus(report->order, *report->proposed));
        Common::logEvent(Common::log_level::Info, "rollout_reported", { { "service", report->order.service.value }, { "version", report->order.to.value }, { "status", static_cast<int>(*report->proposed) } });
        context.commit(write, [this, report](const Store::rows_answer& answer) {
            const auto known = rollouts.rollouts.find(report->order.service);
            if (known == rollouts.rollouts.end())
                return;
            known->second.isReporting = false;
            if (answer.outcome == Store::call_outcome::Done)
                perform(noteReported(rollouts, report->order.service, *report->proposed, Common::bootClockNow()));
        });
    }

    void adoptCatalog(const std::map<std::string, Store::row>& rows, const char* source)
    {
        const auto newer = context.settings.calls.catalog(rows, context.catalog ? context.catalog->version : 0);
        if (!newer)
            return;
        context.catalog = newer;
        catalogText = rows.at(context.settings.calls.catalogKey).value;
        Common::logEvent(Common::log_level::Info, "catalog_in_force", { { "version", context.catalog->version }, { "routes", context.catalog->routes.size() }, { "accounts", context.catalog->accounts.size() }, { "source", source } });
        outlets.tellGateway(Gateway::catalog_known { context.catalog });
        outlets.tellPeersCatalog(context.catalog->version);
    }

    void endpointRowsChanged()
    {
        const Fleet::listing heard = context.settings.calls.endpoints(endpointWatch.rows);
        const auto changes = Fleet::applyListing(context.endpoints, heard, Common::bootClockNow());
        for (const Fleet::endpoint_change& change : changes)
            tellEndpointChange(change, "store");
        outlets.tellGateway(Gateway::endpoints_known { context.endpoints.endpoints });
    }

    void dropMissingEndpoints(Common::instant now)
    {
        const auto changes = Fleet::dropMissing(context.endpoints, now);
        for (const Fleet::endpoint_change& change : changes)
            tellEndpointChange(change, "not_returned");
        if (!changes.empty())
            outlets.tellGateway(Gateway::endpoints_known { context.endpoints.endpoints });
    }

    void tellEndpointChange(const Fleet::endpoint_change& change, const char* source)
    {
        Common::logEvent(Common::log_level::Info, "endpoint_changed", { { "endpoint", change.item.id.value }, { "change", Fleet::nameOf(change.kind) }, { "service", change.item.service.value }, { "zone", change.item.zone.value }, { "reclaimable", change.item.isReclaimable }, { "version", change.item.version.value }, { "source", source }, { "row_version", endpointWatch.newest.value } });
        if (change.kind == Fleet::change_kind::BeganLeaving)
            outlets.tellPeersLeaving(change.item);
        if (change.kind != Fleet::change_kind::Appeared)
            Scaling::recordEndpointLoss(orders.orders, { change.item.service, change.item.zone, change.item.isReclaimable }, Common::bootClockNow());
    }

    void nodeRowsChanged()
    {
        readNodeRows(nodeRows);
        paceByNodes();
        perform(judge(rollouts, Rollout::nodes_counted { context.nodes.size() }, Common::bootClockNow()));
        outlets.publishNodes(context.nodes);
    }

    void paceByNodes()
    {
        const store_pace pace = paceFor(context.nodes.size(), context.settings.facts.bounds);
        operatorWatch.settings.longestWait = pace.catalogWait;
        endpointWatch.settings.longestWait = pace.endpointWait;
        endpointWatch.settings.pause = pace.endpointPause;
        nodeRows.watch.settings.pause = pace.nodesPause;
        for (Store::table_watch* watch : { &operatorWatch, &endpointWatch, &nodeRows.watch, &statusWatch })
            watch->settings.longestRetry = pace.longestRetry;
        context.lease.settings.watchInterval = ownRank() < closeWatchers ? closeWatchInterval : distantWatchInterval;
    }

    /// This node's place in the order in which nodes watch the lease; the same on all nodes.
    size_t ownRank() const
    {
        const std::string& self = context.settings.self.node.value;
        const uint64_t own = Common::rendezvousScore("lease", self);
        return static_cast<size_t>(std::count_if(context.nodes.begin(), context.nodes.end(), [own, &self](const auto& entry) {
            return entry.first.value != self && !entry.second.isLeaving && Common::rendezvousScore("lease", entry.first.value) > own;
        }));
    }

    // --- The lease

    void keepLease(Common::instant now)
    {
        const auto next = Lease::nextCall(context.lease, now);
        if (!next)
            return;
        Http::outgoing_request request = std::holds_alternative<Store::range>(*next)
            ? context.settings.calls.rows(context.storeAddress(), std::get<Store::range>(*next))
            : context.settings.calls.transaction(context.storeAddress(), std::get<Store::transaction>(*next));
        context.call(std::move(request), [this](const Store::rows_answer& answer) {
            Lease::takeAnswer(context.lease, answer, Common::bootClockNow());
            noteHolder();
        });
    }

    void noteHolder()
    {
        if (context.lease.isHeld == wasHolder)
            return;
        wasHolder = context.lease.isHeld;
        // While another node held it, orders and reports may have gone out.
        if (context.lease.isHeld) {
            Scaling::clearOrders(orders.orders);
            resetReporter(usage.reporter);
        }
        Common::logEvent(Common::log_level::Info, context.lease.isHeld ? "lease_taken" : "lease_lost", { { "fence", context.lease.fence.value } });
    }

    void doDuties(Common::instant now)
    {
        const bool mayAct = Lease::mayAct(context.lease, now);
        if (!mayAct)
            return;
        reportUsage(usage, now);
        orderEndpoints(orders, now);
        reportRollouts();
        removeDeadNodes(nodeRows);
    }

    // --- Messages

    void take(interval_seen&& message)
    {
        for (Usage::begun_request& item : message.report.begun)
            usage.unplaced.push_back(std::move(item));
        Scaling::recordDemand(orders.demand, message.report.demand, Common::bootClockNow());
    }

    void take(demand_heard&& message)
    {
        Scaling::recordDemand(orders.demand, message.demand, Common::bootClockNow());
    }

    void take(leaving_heard&& message)
    {
        const auto change = Fleet::noteLeaving(context.endpoints, message.endpoint, message.started);
        if (!change)
            return;
        tellEndpointChange(*change, "peer");
        outlets.tellGateway(Gateway::endpoints_known { context.endpoints.endpoints });
    }

    void take(newer_catalog_heard&& message)
    {
        if (context.catalog && message.version <= context.catalog->version)
            return;
        operatorWatch.wantsRefresh = true;
        // The store may be away for this node alone, or its feed silent.
        outlets.askPeersCatalog(context.catalog ? context.catalog->version : 0);
    }

    void take(catalog_text_heard&& message)
    {
        Store::row item;
        item.name = { context.settings.calls.operatorTable, "", context.settings.calls.catalogKey };
        item.value = std::move(message.text);
        adoptCatalog({ { context.settings.calls.catalogKey, std::move(item) } }, "peer");
    }

    void take(catalog_asked&& message)
    {
        if (context.catalog && context.catalog->version > message.after)
            outlets.givePeerCatalog(message.peer, context.catalog->version, catalogText);
    }

    void take(dead_nodes_known&& message)
    {
        nodeRows.deadNodes = std::move(message.nodes);
    }

    void take(leave_ended&&)
    {
        removeSelf(nodeRows);
    }

    void take(leave_begun&&)
    {
        noteLeaveBegun(nodeRows);
        context.lease.isResigning = true;
    }

    void take(settings_changed&& message)
    {
        context.settings.facts.store = message.facts.store;
        context.settings.facts.cloud = message.facts.cloud;
    }

    void take(Gateway::attempt_seen&& message) { perform(judge(rollouts, toObserved(message), Common::bootClockNow())); }

    void take(Rollout::peer_evidence&& message) { perform(judge(rollouts, std::move(message), Common::bootClockNow())); }

    void take(Rollout::peer_latch&& message) { perform(judge(rollouts, std::move(message), Common::bootClockNow())); }

    void takeMessages()
    {
        inbox.drainInto(batch);
        for (control_message& message : batch)
            std::visit([this](auto& item) { take(std::move(item)); }, message);
    }

    void step()
    {
        takeMessages();
        const Common::instant now = Common::bootClockNow();
        follow(operatorWatch, &implementation::operatorRowsChanged);
        follow(endpointWatch, &implementation::endpointRowsChanged);
        follow(nodeRows.watch, &implementation::nodeRowsChanged);
        if (isActive(rollouts))
            follow(statusWatch, &implementation::statusRowsChanged);
        tickRollouts(now);
        dropMissingEndpoints(now);
        registerSelf(nodeRows, now);
        countBegun(usage, now);
        writeCounts(usage, now);
        keepLease(now);
        doDuties(now);
    }
};

control_duty::control_duty(control_settings settings, control_outlets outlets)
    : m_implementation(std::make_unique<implementation>())
{
    implementation& self = *m_implementation;
    self.context.settings = std::move(settings);
    self.outlets = std::move(outlets);
    const store_pace pace = paceFor(1, self.context.settings.facts.bounds);
    self.operatorWatch.settings = { self.context.settings.calls.operatorTable, pace.catalogWait, pace.longestRetry, {} };
    self.endpointWatch.settings = { self.context.settings.calls.endpointTable, pace.endpointWait, pace.longestRetry, pace.endpointPause };
    self.statusWatch.settings = { self.context.settings.calls.statusTable, statusWait, pace.longestRetry, {} };
    self.rollouts = makeRolloutKeeper(self.context.settings.facts.bounds.exposureShare);
    self.nodeRows.watch.settings = { nodeTable, nodesWait, pace.longestRetry, pace.nodesPause };
    self.context.lease.settings.self = self.context.settings.self.node;
    self.context.lease.settings.duration = std::max(self.context.lease.settings.duration, self.context.settings.facts.bounds.lease + milliseconds(600));
    self.context.lease.lastNonce = self.context.settings.seed & ((uint64_t { 1 } << nonceBits) - 1);
    self.usage.counter.windowLength = self.context.settings.facts.bounds.usageWindow;
    self.usage.reporter.windowLength = self.context.settings.facts.bounds.usageWindow;
    self.usage.reporter.due = self.context.settings.facts.bounds.usageDue;
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
        m_implementation->context.client.poll(longestPoll);
    }
}

void control_duty::stop()
{
    m_implementation->isStopping = true;
    m_implementation->context.client.wake();
}

} // namespace Control
