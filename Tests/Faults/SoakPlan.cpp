#include "Faults/SoakPlan.h"

#include <algorithm>
#include <csignal>
#include <thread>

#include <fmt/format.h>

namespace Faults {

namespace {

    using clock = std::chrono::steady_clock;
    using PlatformTests::cloud_mode;
    using PlatformTests::store_mode;

    constexpr size_t maxActiveFaults = 6;
    constexpr uint32_t minPauseMs = 50;
    constexpr uint32_t pauseSpreadMs = 500;
    constexpr milliseconds pollInterval { 20 };
    constexpr int stopTimeoutMs = 4000;
    /// Random details of a fault lie below this.
    constexpr uint32_t detailBound = 1000;
    /// An endpoint that misbehaves is full from this detail on: real ones are full more often than they fail.
    constexpr uint32_t firstDetailOfFull = 600;

    /// The component that a fault affects. Two faults never affect the same component at the same time.
    enum class fault_target {
        Node,
        Endpoint,
        StoreLink,
        CallerLink,
        EndpointLink,
        Store,
        Cloud,
        Catalog,
    };

    struct fault {
        const char* name; ///< Key in the run's output.
        fault_target target;
        bool isPlanned; ///< A planned operation that must not lose requests.
        uint32_t minDurationMs;
        uint32_t durationSpreadMs;
        /// @param index selects the node or endpoint, modulo their number.
        /// @param detail random number that selects a variant of the fault.
        void (*cause)(soak_world&, size_t index, uint32_t detail);
        void (*repair)(soak_world&, size_t index);
    };

    proxied_node& nodeAt(soak_world& world, size_t index) { return *world.nodes[index % world.nodes.size()]; }
    proxied_endpoint& endpointAt(soak_world& world, size_t index) { return *world.endpoints[index % world.endpoints.size()]; }

    void noRepair(soak_world&, size_t) { }

    // --- Nodes

    void killNode(soak_world& world, size_t index, uint32_t)
    {
        proxied_node& proxied = nodeAt(world, index);
        proxied.shouldBeRunning = false;
        Harness::killProcess(proxied.node->child);
    }

    void restartKilledNode(soak_world& world, size_t index) { restartNode(world, nodeAt(world, index)); }

    void killAllNodes(soak_world& world, size_t, uint32_t)
    {
        for (size_t index = 0; index < world.nodes.size(); ++index)
            killNode(world, index, 0);
    }

    void restartAllNodes(soak_world& world, size_t)
    {
        for (size_t index = 0; index < world.nodes.size(); ++index)
            restartKilledNode(world, index);
    }

    void freezeNode(soak_world& world, size_t index, uint32_t) { Harness::signalProcess(nodeAt(world, index).node->child, SIGSTOP); }

    void resumeNode(soak_world& world, size_t index)
    {
        world.checker.recordNodeResumed(nodeAt(world, index).number, clock::now());
        Harness::signalProcess(nodeAt(world, index).node->child, SIGCONT);
    }

    void stopNode(soak_world& world, size_t index, uint32_t)
    {
        proxied_node& proxied = nodeAt(world, index);
        proxied.shouldBeRunning = false;
        Harness::signalProcess(proxied.node->child, SIGTERM);
    }

    void restartStoppedNode(soak_world& world, size_t index)
    {
        proxied_node& proxied = nodeAt(world, index);
        const bool hasEnded = Harness::waitForExit(proxied.node->child, stopTimeoutMs) == 0;
        // A process that gets SIGTERM before it handles signals is terminated by it; it has not accepted any requests yet.
        if (!hasEnded && proxied.node->hasBegun())
            world.checker.recordBreach("ENDED", fmt::format("node {} did not exit with code 0 after SIGTERM: wait status {:#x}", proxied.number, proxied.node->child.waitStatus));
        Harness::killProcess(proxied.node->child);
        restartNode(world, proxied);
    }

    void reloadSettings(soak_world& world, size_t index, uint32_t detail)
    {
        const proxied_node& proxied = nodeAt(world, index);
        constexpr const char* variants[] = { "some.new=1\n", "bounds.drainMs=soon\n", "" };
        proxied.node->writeSettings(variants[detail % std::size(variants)]);
        // A process that has not begun doesn't block signals yet and would be ended by this one.
        if (detail % 2 == 0 && proxied.node->hasBegun())
            Harness::signalProcess(nodeAt(world, index).node->child, SIGHUP);
    }

    void restoreSettings(soak_world& world, size_t index) { nodeAt(world, index).node->writeSettings(""); }

    // --- Links

    link_state impairedState(uint32_t detail)
    {
        constexpr link_state states[] = { link_state::Slow, link_state::ForwardBlocked, link_state::BackwardBlocked, link_state::BothBlocked };
        return states[detail % std::size(states)];
    }

    void impairStoreLink(soak_world& world, size_t index, uint32_t detail) { nodeAt(world, index).storeLink->setState(impairedState(detail)); }
    void restoreStoreLink(soak_world& world, size_t index) { nodeAt(world, index).storeLink->setState(link_state::Unimpaired); }
    void resetStoreLink(soak_world& world, size_t index, uint32_t) { nodeAt(world, index).storeLink->resetAll(); }
    void impairCallerLink(soak_world& world, size_t index, uint32_t detail) { nodeAt(world, index).callerLink->setState(impairedState(detail)); }
    void restoreCallerLink(soak_world& world, size_t index) { nodeAt(world, index).callerLink->setState(link_state::Unimpaired); }
    void resetCallerLink(soak_world& world, size_t index, uint32_t) { nodeAt(world, index).callerLink->resetAll(); }

    void recordLinkDisturbed(soak_world& world, size_t index, clock::time_point until)
    {
        world.checker.recordEndpointLinkDisturbed(endpointAt(world, index).endpoint->name(), until);
    }

    void impairEndpointLink(soak_world& world, size_t index, uint32_t detail)
    {
        recordLinkDisturbed(world, index, clock::time_point::max());
        endpointAt(world, index).link->setState(impairedState(detail));
    }

    void restoreEndpointLink(soak_world& world, size_t index)
    {
        endpointAt(world, index).link->setState(link_state::Unimpaired);
        recordLinkDisturbed(world, index, clock::now());
    }

    void resetEndpointLink(soak_world& world, size_t index, uint32_t)
    {
        endpointAt(world, index).link->resetAll();
        recordLinkDisturbed(world, index, clock::now());
    }

    // --- Endpoints

    void setFaultyBehavior(soak_world& world, size_t index, uint32_t detail)
    {
        const auto drawn = static_cast<endpoint_behavior>(1 + detail % (endpointBehaviorCount - 1));
        endpointAt(world, index).endpoint->setBehavior(detail >= firstDetailOfFull ? endpoint_behavior::Full : drawn);
    }

    void setHealthyBehavior(soak_world& world, size_t index) { endpointAt(world, index).endpoint->setBehavior(endpoint_behavior::Healthy); }

    /// Every second one says only in its own answers that it leaves.
    void drainEndpoint(soak_world& world, size_t index, uint32_t detail)
    {
        proxied_endpoint& proxied = endpointAt(world, index);
        proxied.endpoint->setLeaving(true);
        if (detail % 2 == 1)
            return;
        registerEndpoint(world, proxied, "draining");
        world.checker.recordEndpointDraining(proxied.endpoint->name(), clock::now());
    }

    /// Removes the drained endpoint and registers a new one, with another id, at the same address.
    void replaceEndpoint(soak_world& world, size_t index)
    {
        proxied_endpoint& proxied = endpointAt(world, index);
        world.store.remove("servers", proxied.endpoint->name());
        proxied.endpoint->setLeaving(false);
        ++proxied.incarnation;
        const std::string name = proxied.endpoint->name();
        proxied.endpoint->rename(fmt::format("{}.{}", name.substr(0, name.find('.')), proxied.incarnation));
        registerEndpoint(world, proxied, "ready");
    }

    void writeUnreadableEntry(soak_world& world, size_t index, uint32_t) { world.store.put("servers", fmt::format("odd-{}", index), "no entry"); }
    void removeUnreadableEntry(soak_world& world, size_t index) { world.store.remove("servers", fmt::format("odd-{}", index)); }

    // --- Dependencies that all nodes share

    void impairStore(soak_world& world, size_t, uint32_t detail)
    {
        constexpr store_mode modes[] = { store_mode::Busy, store_mode::Silent, store_mode::ForgetHistory };
        world.store.setMode(modes[detail % std::size(modes)]);
    }

    void restoreStore(soak_world& world, size_t) { world.store.setMode(store_mode::Serve); }

    void backUpStore(soak_world& world, size_t, uint32_t) { world.store.backUp(); }
    void restoreOlderStore(soak_world& world, size_t) { world.store.restoreCopy({ "op", "servers" }); }

    void impairCloud(soak_world& world, size_t, uint32_t detail)
    {
        constexpr cloud_mode modes[] = { cloud_mode::Busy, cloud_mode::Down, cloud_mode::LoseAnswers, cloud_mode::Late };
        world.cloud.setMode(modes[detail % std::size(modes)]);
    }

    void restoreCloud(soak_world& world, size_t) { world.cloud.setMode(cloud_mode::Serve); }

    void changeCatalog(soak_world& world, size_t, uint32_t) { sendNextCatalog(world); }

    constexpr fault faults[] = {
        { "node_stopped", fault_target::Node, true, 4200, 800, stopNode, restartStoppedNode },
        { "settings_renewed", fault_target::Node, true, 300, 1200, reloadSettings, restoreSettings },
        { "endpoint_replaced", fault_target::Endpoint, true, 5500, 2500, drainEndpoint, replaceEndpoint },
        { "catalog_changed", fault_target::Catalog, true, 200, 2000, changeCatalog, noRepair },
        { "node_killed", fault_target::Node, false, 200, 3000, killNode, restartKilledNode },
        { "node_frozen", fault_target::Node, false, 300, 4500, freezeNode, resumeNode },
        { "store_link_harmed", fault_target::StoreLink, false, 500, 5000, impairStoreLink, restoreStoreLink },
        { "store_link_reset", fault_target::StoreLink, false, 0, 100, resetStoreLink, noRepair },
        { "caller_link_harmed", fault_target::CallerLink, false, 200, 2500, impairCallerLink, restoreCallerLink },
        { "caller_link_reset", fault_target::CallerLink, false, 0, 100, resetCallerLink, noRepair },
        { "endpoint_link_harmed", fault_target::EndpointLink, false, 200, 2500, impairEndpointLink, restoreEndpointLink },
        { "endpoint_link_reset", fault_target::EndpointLink, false, 0, 100, resetEndpointLink, noRepair },
        { "endpoint_misbehaves", fault_target::Endpoint, false, 300, 3000, setFaultyBehavior, setHealthyBehavior },
        { "entry_unreadable", fault_target::Catalog, false, 100, 1500, writeUnreadableEntry, removeUnreadableEntry },
        { "store_harmed", fault_target::Store, false, 500, 5000, impairStore, restoreStore },
        { "cloud_harmed", fault_target::Cloud, false, 1000, 6000, impairCloud, restoreCloud },
    };

    /// Kills all nodes at once. Not in the table: it may only start while no other node fault is active.
    constexpr fault powerLoss { "all_nodes_killed", fault_target::Node, false, 300, 2000, killAllNodes, restartAllNodes };
    /// One in this many draws causes a power loss, while no node fault is active.
    constexpr uint32_t powerLossOneIn = 25;

    /// Restores the store from a copy as old as the fault lasts. Drawn on request only, so that the seeds of earlier
    /// failures keep their plans.
    constexpr fault storeRestore { "store_restored", fault_target::Store, false, 500, 4000, backUpStore, restoreOlderStore };
    constexpr uint32_t storeRestoreOneIn = 12;

    struct active_fault {
        const fault* definition;
        size_t index;
        clock::time_point endsAt;
    };

    /// State of a running plan.
    struct plan_run {
        soak_world& world;
        const plan_settings& settings;
        Common::random_source random;
        std::vector<active_fault> active;
        std::map<std::string, int> counts;
    };

    bool isTargetFree(const plan_run& run, fault_target target, size_t index)
    {
        return std::none_of(run.active.begin(), run.active.end(), [&](const active_fault& active) {
            return active.definition->target == target && (active.index == index || active.definition == &powerLoss);
        });
    }

    bool isAnyNodeFaulty(const plan_run& run)
    {
        return std::any_of(run.active.begin(), run.active.end(), [](const active_fault& active) { return active.definition->target == fault_target::Node; });
    }

    size_t drawIndex(plan_run& run, fault_target target)
    {
        const bool isEndpointTarget = target == fault_target::Endpoint || target == fault_target::EndpointLink;
        const size_t count = isEndpointTarget ? run.world.endpoints.size() : run.world.nodes.size();
        const bool isShared = target == fault_target::Store || target == fault_target::Cloud || target == fault_target::Catalog;
        return isShared ? 0 : Common::uniformBelow(run.random, static_cast<uint32_t>(count));
    }

    void startFault(plan_run& run, const fault& definition, size_t index)
    {
        const milliseconds duration(definition.minDurationMs + Common::uniformBelow(run.random, definition.durationSpreadMs));
        if (!definition.isPlanned)
            run.world.checker.recordDisturbance(clock::now() + duration);
        ++run.counts[definition.name];
        definition.cause(run.world, index, Common::uniformBelow(run.random, detailBound));
        run.active.push_back({ &definition, index, clock::now() + duration });
    }

    void drawFault(plan_run& run)
    {
        if (!run.settings.isPlannedOnly && !isAnyNodeFaulty(run) && Common::uniformBelow(run.random, powerLossOneIn) == 0)
            return startFault(run, powerLoss, 0);
        if (run.settings.restoresStore && isTargetFree(run, fault_target::Store, 0) && Common::uniformBelow(run.random, storeRestoreOneIn) == 0)
            return startFault(run, storeRestore, 0);
        const fault& definition = faults[Common::uniformBelow(run.random, std::size(faults))];
        if (run.settings.isPlannedOnly && !definition.isPlanned)
            return;
        const size_t index = drawIndex(run, definition.target);
        if (isTargetFree(run, definition.target, index))
            startFault(run, definition, index);
    }

    void repairExpired(plan_run& run, clock::time_point now)
    {
        std::erase_if(run.active, [&](const active_fault& active) {
            if (active.endsAt > now)
                return false;
            active.definition->repair(run.world, active.index);
            if (!active.definition->isPlanned)
                run.world.checker.recordDisturbance(clock::now());
            return true;
        });
    }

} // namespace

std::map<std::string, int> runPlan(soak_world& world, const plan_settings& settings)
{
    plan_run run { world, settings, Common::random_source(settings.seed), {}, {} };
    const auto end = clock::now() + settings.duration;
    auto nextAt = clock::now();
    while (clock::now() < end) {
        repairExpired(run, clock::now());
        checkProcesses(world);
        if (clock::now() >= nextAt && run.active.size() < maxActiveFaults) {
            drawFault(run);
            nextAt = clock::now() + milliseconds(minPauseMs + Common::uniformBelow(run.random, pauseSpreadMs));
        }
        std::this_thread::sleep_for(pollInterval);
    }
    repairExpired(run, clock::time_point::max());
    return run.counts;
}

} // namespace Faults
