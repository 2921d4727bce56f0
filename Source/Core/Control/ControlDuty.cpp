#include "Control/ControlDuty.h"

#include "Common/BootClock.h"
#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Ring.h"
#include "Control/RolloutKeeper.h"
#include "Control/TrueTime.h"
#include "Control/UsageReporter.h"
#include "Lease/Lease.h"
#include "Scaling/Plan.h"
#include "Store/TableWatch.h"

#include <algorithm>
#include <atomic>

namespace Control {

namespace {

    constexpr size_t ringCapacity = 4096;
    constexpr milliseconds longestPoll { 200 };
    /// Waits of the feeds. A feed that fell silent is noticed soon after its wait; peers tell of newer catalogs and of
    /// endpoints that leave besides, so with many nodes each may wait longer.
    constexpr milliseconds catalogWait { 1500 };
    constexpr milliseconds endpointWait { 1700 };
    constexpr milliseconds nodesWait { 8000 };
    constexpr milliseconds statusWait { 1500 };
    constexpr milliseconds longestFeedWait { 3000 };
    /// Endpoints and nodes often change several at a time.
    constexpr milliseconds endpointPause { 250 };
    constexpr milliseconds longestEndpointPause { 1500 };
    constexpr milliseconds nodesPause { 1000 };
    /// So many nodes watch the lease closely; the others look now and then.
    constexpr size_t closeWatchers = 2;
    constexpr milliseconds closeWatchInterval { 1500 };
    constexpr milliseconds distantWatchInterval { 9000 };
    constexpr size_t nodesPerStretch = 20;
    constexpr const char* nodeTable = "nodes";
    /// This node's counts of an unfinished window are written at this interval, for the case that it is killed.
    constexpr milliseconds countWriteInterval { 1000 };
    /// After the end of a window its counts are written within this time.
    constexpr milliseconds lastCountDelay { 400 };
    constexpr milliseconds registerPause { 300 };
    constexpr uint64_t nonceBits = 48;
    constexpr milliseconds planInterval { 300 };
    constexpr milliseconds rolloutTickInterval { 200 };

    /// The platform's store and the peers carry so many calls; with more nodes each calls less often.
    milliseconds stretched(milliseconds interval, size_t nodes)
    {
        return interval * std::max<int64_t>(1, static_cast<int64_t>((nodes + nodesPerStretch - 1) / nodesPerStretch));
    }

} // namespace

struct control_duty::implementation {
    control_settings settings;
    control_outlets outlets;
    Http::client client;
    Common::ring<control_message> inbox { ringCapacity };
    std::vector<control_message> batch;
    std::atomic<bool> isStopping { false };

    Store::table_watch operatorWatch;
    Store::table_watch endpointWatch;
    Store::table_watch nodeWatch;
    Store::table_watch statusWatch; ///< Followed only while a rollout is known.
    Fleet::endpoint_book endpoints;
    Catalog::catalog_pointer catalog;
    std::string catalogText; ///< In the platform's form, for peers that can't reach the store.
    Fleet::node_map nodes;
    std::set<Common::node_id> deadNodes;
    bool isRemovingNode { false };
    std::optional<store_reading> storeClock;

    bool isRegistered { false };
    bool isRegistering { false };
    bool isLeaving { false };
    Common::instant nextRegistration;

    Lease::lease_state lease;
    usage_reporter reporter;
    Usage::usage_counter counter;
    std::vector<Usage::begun_request> unplaced; ///< Begun before true time was known.
    bool isWritingCounts { false };
    Common::instant nextCountWrite;
    Scaling::demand_book demand;
    Scaling::plan_memory planMemory;
    Scaling::order_book orders;
    Common::instant nextPlan;
    bool wasHolder { false };
    rollout_keeper rollouts;
    Common::instant nextRolloutTick;

    // --- Calls to the store

    template <typename handler>
    void call(Http::outgoing_request&& request, handler onAnswer)
    {
        Common::countMetric("filbertreel_store_calls_total");
        client.start(std::move(request), [this, onAnswer](Http::transfer_answer&& answer) {
            const Store::rows_answer parsed = settings.calls.storeAnswer(answer);
            if (parsed.outcome == Store::call_outcome::Done && parsed.now.value > 0)
                storeClock = store_reading { parsed.now, Common::bootClockNow() };
            if (parsed.outcome != Store::call_outcome::Done)
                Common::countMetric("filbertreel_store_calls_failed_total");
            onAnswer(parsed);
        });
    }

    const std::string& storeAddress() const
    {
        return settings.facts.store.address;
    }

    void commit(const Store::transaction& item, std::function<void(const Store::rows_answer&)> onAnswer)
    {
        call(settings.calls.transaction(storeAddress(), item), std::move(onAnswer));
    }

    // --- Tables that are followed

    void follow(Store::table_watch& watch, void (implementation::*onChange)())
    {
        const auto query = Store::nextQuery(watch, Common::bootClockNow());
        if (!query)
            return;
        Http::outgoing_request request = std::holds_alternative<Store::range>(*query)
            ? settings.calls.rows(storeAddress(), std::get<Store::range>(*query))
            : settings.calls.changes(storeAddress(), std::get<Store::change_query>(*query));
        call(std::move(request), [this, &watch, onChange](const Store::rows_answer& answer) {
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
            Fleet::noteStoreReturned(endpoints, Common::bootClockNow());
    }

    void operatorRowsChanged()
    {
        adoptCatalog(operatorWatch.rows, "store");
        perform(noteOrders(rollouts, settings.calls.rollouts(operatorWatch.rows), operatorWatch.rows, Common::bootClockNow()));
    }

    void statusRowsChanged()
    {
        for (const auto& [service, item] : std::map(rollouts.rollouts)) {
            for (const auto& [key, row] : statusWatch.rows) {
                const auto status = settings.calls.readRolloutStatus(row, item.order);
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
        write.writes.push_back(settings.calls.rolloutStatus(report->order, *report->proposed));
        Common::logEvent(Common::log_level::Info, "rollout_reported", { { "service", report->order.service.value }, { "version", report->order.to.value }, { "status", static_cast<int>(*report->proposed) } });
        commit(write, [this, report](const Store::rows_answer& answer) {
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
        const auto newer = settings.calls.catalog(rows, catalog ? catalog->version : 0);
        if (!newer)
            return;
        catalog = newer;
        catalogText = rows.at(settings.calls.catalogKey).value;
        Common::logEvent(Common::log_level::Info, "catalog_in_force", { { "version", catalog->version }, { "routes", catalog->routes.size() }, { "accounts", catalog->accounts.size() }, { "source", source } });
        outlets.tellGateway(Gateway::catalog_known { catalog });
        outlets.tellPeersCatalog(catalog->version);
    }

    void endpointRowsChanged()
    {
        const Fleet::listing heard = settings.calls.endpoints(endpointWatch.rows);
        const auto changes = Fleet::applyListing(endpoints, heard, Common::bootClockNow());
        for (const Fleet::endpoint_change& change : changes)
            tellEndpointChange(change, "store");
        outlets.tellGateway(Gateway::endpoints_known { endpoints.endpoints });
    }

    void tellEndpointChange(const Fleet::endpoint_change& change, const char* source)
    {
        Common::logEvent(Common::log_level::Info, "endpoint_changed", { { "endpoint", change.item.id.value }, { "change", Fleet::nameOf(change.kind) }, { "service", change.item.service.value }, { "zone", change.item.zone.value }, { "reclaimable", change.item.isReclaimable }, { "version", change.item.version.value }, { "source", source }, { "row_version", endpointWatch.newest.value } });
        if (change.kind == Fleet::change_kind::BeganLeaving)
            outlets.tellPeersLeaving(change.item);
        if (change.kind != Fleet::change_kind::Appeared)
            Scaling::noteLoss(orders, { change.item.service, change.item.zone, change.item.isReclaimable }, Common::bootClockNow());
    }

    void nodeRowsChanged()
    {
        nodes.clear();
        for (const auto& [key, item] : nodeWatch.rows)
            nodes[{ key }] = Fleet::decodeNode({ key }, item.value);
        // Another node has taken this one for dead.
        if (isRegistered && !nodes.contains(settings.self.node))
            isRegistered = false;
        paceByNodes();
        perform(judge(rollouts, Rollout::nodes_counted { nodes.size() }, Common::bootClockNow()));
        outlets.publishNodes(nodes);
    }

    void paceByNodes()
    {
        operatorWatch.settings.longestWait = std::min(stretched(catalogWait, nodes.size()), longestFeedWait);
        endpointWatch.settings.longestWait = std::min(stretched(endpointWait, nodes.size()), longestFeedWait);
        endpointWatch.settings.pause = std::min(stretched(endpointPause, nodes.size()), longestEndpointPause);
        nodeWatch.settings.pause = stretched(nodesPause, nodes.size());
        lease.settings.watchInterval = ownRank() < closeWatchers ? closeWatchInterval : distantWatchInterval;
    }

    /// This node's place in the order in which nodes watch the lease; the same on all nodes.
    size_t ownRank() const
    {
        const std::string& self = settings.self.node.value;
        const uint64_t own = Common::rendezvousScore("lease", self);
        return static_cast<size_t>(std::count_if(nodes.begin(), nodes.end(), [own, &self](const auto& entry) {
            return entry.first.value != self && !entry.second.isLeaving && Common::rendezvousScore("lease", entry.first.value) > own;
        }));
    }

    /// Rows of nodes that ended without a word would hold back their share of the allowances for good.
    void removeDeadNodes()
    {
        if (isRemovingNode)
            return;
        for (const Common::node_id& id : deadNodes) {
            const auto known = nodeWatch.rows.find(id.value);
            if (known == nodeWatch.rows.end() || id == settings.self.node)
                continue;
            isRemovingNode = true;
            Store::transaction write;
            write.conditions.push_back({ known->second.name, known->second.version });
            write.removals.push_back(known->second.name);
            Common::logEvent(Common::log_level::Info, "dead_node_removed", { { "member", id.value } });
            return commit(write, [this](const Store::rows_answer&) { isRemovingNode = false; });
        }
    }

    // --- This node's own row

    void registerSelf(Common::instant now)
    {
        if (isRegistered || isRegistering || now < nextRegistration)
            return;
        if (!storeClock)
            return;
        isRegistering = true;
        settings.self.isLeaving = isLeaving;
        settings.self.clockOffset = Common::wallClockMilliseconds() - storeNowEstimate(now);
        Store::transaction write;
        write.writes.push_back({ { nodeTable, "", settings.self.node.value }, Fleet::encodeNode(settings.self) });
        const bool told = isLeaving;
        commit(write, [this, told](const Store::rows_answer& answer) {
            isRegistering = false;
            isRegistered = answer.outcome == Store::call_outcome::Done && told == isLeaving;
            nextRegistration = Common::bootClockNow() + registerPause;
        });
    }

    int64_t storeNowEstimate(Common::instant now) const
    {
        return trueTimeAt(*storeClock, 0, now).value;
    }

    // --- Usage

    std::optional<Usage::true_time> trueTime(Common::instant now) const
    {
        if (!storeClock)
            return {};
        std::vector<int64_t> offsets;
        for (const auto& [id, item] : nodes) {
            if (item.clockOffset)
                offsets.push_back(*item.clockOffset);
        }
        const auto offset = medianOffset(std::move(offsets));
        if (!offset)
            return {};
        return trueTimeAt(*storeClock, *offset, now);
    }

    void countBegun(Common::instant now)
    {
        const auto trueNow = trueTime(now);
        if (!trueNow)
            return;
        const auto steadyNow = std::chrono::steady_clock::now();
        for (const Usage::begun_request& item : unplaced) {
            const auto ago = std::chrono::duration_cast<milliseconds>(steadyNow - item.at);
            Usage::countBegun(counter, item.account, { trueNow->value - ago.count() });
        }
        unplaced.clear();
    }

    void writeCounts(Common::instant now)
    {
        const auto trueNow = trueTime(now);
        if (isWritingCounts || !trueNow || !settings.facts.cloud.wantsUsage)
            return;
        const Usage::window_number currentWindow = Usage::windowOf(*trueNow, counter.windowLength);
        Usage::forgetBefore(counter, { currentWindow.value - 4 });
        Store::transaction write;
        std::map<Usage::window_number, Usage::account_counts> written;
        for (const Usage::window_number window : Usage::unwrittenWindows(counter)) {
            const bool isOver = trueNow->value > Usage::endOf(window, counter.windowLength).value + lastCountDelay.count();
            if (!isOver && now < nextCountWrite)
                continue;
            written[window] = counter.windows[window];
            write.writes.push_back({ countRow(window, settings.self.node), Usage::encodeCounts(counter.windows[window]) });
        }
        if (write.writes.empty())
            return;
        isWritingCounts = true;
        nextCountWrite = now + stretched(countWriteInterval, nodes.size());
        commit(write, [this, written](const Store::rows_answer& answer) {
            isWritingCounts = false;
            if (answer.outcome != Store::call_outcome::Done) {
                nextCountWrite = Common::bootClockNow() + registerPause;
                return;
            }
            for (const auto& [window, counts] : written)
                Usage::noteWritten(counter, window, counts);
        });
    }

    void reportUsage(Common::instant now)
    {
        const auto trueNow = trueTime(now);
        if (!trueNow || !settings.facts.cloud.wantsUsage)
            return;
        const auto step = nextStep(reporter, *trueNow, now);
        if (step)
            std::visit([this](const auto& item) { perform(item); }, *step);
    }

    void perform(const read_counts& step)
    {
        call(settings.calls.rows(storeAddress(), step.rows), [this, window = step.window](const Store::rows_answer& answer) {
            takeCounts(reporter, window, answer, Common::bootClockNow());
        });
    }

    void perform(const record_report& step)
    {
        commit(step.transaction, [this, window = step.window](const Store::rows_answer& answer) {
            takeRecorded(reporter, window, answer, Common::bootClockNow());
        });
    }

    Scaling::order_giver giver() const
    {
        return { settings.self.node, lease.fence.value };
    }

    void perform(const send_report& step)
    {
        client.start(settings.calls.usage(settings.facts.cloud.address, giver(), step.window, step.counts), [this, step](const Http::transfer_answer& answer) {
            const Scaling::order_outcome outcome = settings.calls.dutyAnswer(answer);
            const bool isDone = outcome == Scaling::order_outcome::Done;
            uint64_t sum = 0;
            for (const auto& [account, count] : step.counts)
                sum += count;
            Common::logEvent(Common::log_level::Info, "usage_reported", { { "window", step.window.value }, { "requests", sum }, { "status", answer.status }, { "done", isDone } });
            if (outcome == Scaling::order_outcome::Fenced || outcome == Scaling::order_outcome::NoneAvailable)
                Lease::raiseFence(lease, Common::bootClockNow());
            takeSent(reporter, step.window, isDone, Common::bootClockNow());
        });
    }

    // --- Orders of endpoints

    void planAll(Common::instant now)
    {
        Scaling::wanted_map wanted;
        for (const auto& [name, service] : catalog->services) {
            if (!service.scaling)
                continue;
            Scaling::plan_input input;
            input.demand = Scaling::demandByZone(demand, name, now);
            input.supply = Scaling::countSupply(endpoints.endpoints, name);
            input.exhausted = Scaling::exhaustedZones(orders, name, now);
            wanted.merge(Scaling::planEndpoints(service, input));
        }
        const Scaling::wanted_map before = planMemory.wanted;
        if (Scaling::steady(planMemory, wanted, now) != before)
            logPlan(now);
    }

    void logPlan(Common::instant now) const
    {
        nlohmann::json numbers = nlohmann::json::object();
        for (const auto& [item, count] : planMemory.wanted)
            numbers[item.zone.value + (item.isReclaimable ? "/reclaimable" : "/plain")] = count;
        nlohmann::json busy = nlohmann::json::object();
        for (const auto& [name, nodes_] : demand.services) {
            for (const auto& [zone, level] : Scaling::demandByZone(demand, name, now))
                busy[name.value + "/" + zone.value] = level.value;
        }
        Common::logEvent(Common::log_level::Info, "endpoints_planned", { { "wanted", std::move(numbers) }, { "busy_engines", std::move(busy) } });
    }

    void orderEndpoints(Common::instant now)
    {
        if (!catalog || !settings.facts.cloud.wantsScaling)
            return;
        if (now >= nextPlan) {
            nextPlan = now + planInterval;
            planAll(now);
        }
        const auto order = Scaling::nextOrder(orders, planMemory.wanted, now);
        if (!order)
            return;
        client.start(settings.calls.order(settings.facts.cloud.address, giver(), *order), [this, order](const Http::transfer_answer& answer) {
            const Scaling::order_outcome outcome = settings.calls.dutyAnswer(answer);
            Common::logEvent(Common::log_level::Info, "endpoints_ordered", { { "service", order->service.value }, { "zone", order->zone.value }, { "reclaimable", order->isReclaimable }, { "desired", order->desired }, { "status", answer.status }, { "answer", answer.body.substr(0, 100) } });
            // An order of unknown fate may be carried out later: the next one needs a higher token to prevail.
            if (outcome == Scaling::order_outcome::Fenced || outcome == Scaling::order_outcome::Unknown)
                Lease::raiseFence(lease, Common::bootClockNow());
            Scaling::takeOutcome(orders, outcome, Common::bootClockNow());
        });
    }

    // --- The lease

    void keepLease(Common::instant now)
    {
        const auto next = Lease::nextCall(lease, now);
        if (!next)
            return;
        Http::outgoing_request request = std::holds_alternative<Store::range>(*next)
            ? settings.calls.rows(storeAddress(), std::get<Store::range>(*next))
            : settings.calls.transaction(storeAddress(), std::get<Store::transaction>(*next));
        call(std::move(request), [this](const Store::rows_answer& answer) {
            Lease::takeAnswer(lease, answer, Common::bootClockNow());
            noteHolder();
        });
    }

    void noteHolder()
    {
        if (lease.isHeld == wasHolder)
            return;
        wasHolder = lease.isHeld;
        // While another node held it, orders and reports may have gone out.
        if (lease.isHeld) {
            Scaling::forgetOrders(orders);
            resetReporter(reporter);
        }
        Common::logEvent(Common::log_level::Info, lease.isHeld ? "lease_taken" : "lease_lost", { { "fence", lease.fence.value } });
    }

    void doDuties(Common::instant now)
    {
        const bool mayAct = Lease::mayAct(lease, now);
        if (!mayAct)
            return;
        reportUsage(now);
        orderEndpoints(now);
        reportRollouts();
        removeDeadNodes();
    }

    // --- Messages

    void take(interval_seen&& message)
    {
        for (Usage::begun_request& item : message.report.begun)
            unplaced.push_back(std::move(item));
        Scaling::noteDemand(demand, message.report.demand, Common::bootClockNow());
    }

    void take(demand_heard&& message)
    {
        Scaling::noteDemand(demand, message.demand, Common::bootClockNow());
    }

    void take(leaving_heard&& message)
    {
        const auto change = Fleet::noteLeaving(endpoints, message.endpoint, message.started);
        if (!change)
            return;
        tellEndpointChange(*change, "peer");
        outlets.tellGateway(Gateway::endpoints_known { endpoints.endpoints });
    }

    void take(newer_catalog_heard&& message)
    {
        if (catalog && message.version <= catalog->version)
            return;
        operatorWatch.wantsRefresh = true;
        // The store may be away for this node alone, or its feed silent.
        outlets.askPeersCatalog(catalog ? catalog->version : 0);
    }

    void take(catalog_text_heard&& message)
    {
        Store::row item;
        item.name = { settings.calls.operatorTable, "", settings.calls.catalogKey };
        item.value = std::move(message.text);
        adoptCatalog({ { settings.calls.catalogKey, std::move(item) } }, "peer");
    }

    void take(catalog_asked&& message)
    {
        if (catalog && catalog->version > message.after)
            outlets.givePeerCatalog(message.peer, catalog->version, catalogText);
    }

    void take(dead_nodes_known&& message)
    {
        deadNodes = std::move(message.nodes);
    }

    void take(leave_ended&&)
    {
        Store::transaction write;
        write.removals.push_back({ nodeTable, "", settings.self.node.value });
        commit(write, [](const Store::rows_answer&) {});
    }

    void take(leave_begun&&)
    {
        isLeaving = true;
        isRegistered = false;
        nextRegistration = {};
        lease.isResigning = true;
    }

    void take(settings_changed&& message)
    {
        settings.facts.store = message.facts.store;
        settings.facts.cloud = message.facts.cloud;
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
        follow(nodeWatch, &implementation::nodeRowsChanged);
        if (isActive(rollouts))
            follow(statusWatch, &implementation::statusRowsChanged);
        tickRollouts(now);
        registerSelf(now);
        countBegun(now);
        writeCounts(now);
        keepLease(now);
        doDuties(now);
    }
};

control_duty::control_duty(control_settings settings, control_outlets outlets)
    : m_implementation(std::make_unique<implementation>())
{
    implementation& self = *m_implementation;
    self.settings = std::move(settings);
    self.outlets = std::move(outlets);
    self.operatorWatch.settings = { self.settings.calls.operatorTable, catalogWait, {} };
    self.endpointWatch.settings = { self.settings.calls.endpointTable, endpointWait, endpointPause };
    self.statusWatch.settings = { self.settings.calls.statusTable, statusWait, {} };
    self.rollouts = makeRolloutKeeper(self.settings.facts.bounds.exposureShare);
    self.nodeWatch.settings = { nodeTable, nodesWait, nodesPause };
    self.lease.settings.self = self.settings.self.node;
    self.lease.settings.duration = std::max(self.lease.settings.duration, self.settings.facts.bounds.lease + milliseconds(600));
    self.lease.lastNonce = self.settings.seed & ((uint64_t { 1 } << nonceBits) - 1);
    self.counter.windowLength = self.settings.facts.bounds.usageWindow;
    self.reporter.windowLength = self.settings.facts.bounds.usageWindow;
    self.reporter.due = self.settings.facts.bounds.usageDue;
    self.inbox.setWaker([&self] { self.client.wake(); });
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
        m_implementation->client.poll(longestPoll);
    }
}

void control_duty::stop()
{
    m_implementation->isStopping = true;
    m_implementation->client.wake();
}

} // namespace Control
