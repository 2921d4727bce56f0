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

    constexpr size_t mostAtOnce = 6;
    constexpr uint32_t shortestPauseMs = 50;
    constexpr uint32_t pauseSpreadMs = 500;
    constexpr milliseconds planStep { 20 };
    constexpr int graceMs = 4000;

    /// What one fault harms, so that no two harm the same at once.
    enum class harmed_part {
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
        const char* name;
        harmed_part part;
        bool isPlanned;
        uint32_t shortestMs;
        uint32_t spreadMs;
        /// @param which number of the node or endpoint, from zero.
        /// @param detail a drawn number for faults with variants.
        void (*cause)(soak_world&, size_t which, uint32_t detail);
        void (*repair)(soak_world&, size_t which);
    };

    node_site& nodeAt(soak_world& world, size_t which) { return *world.nodes[which % world.nodes.size()]; }
    endpoint_site& endpointAt(soak_world& world, size_t which) { return *world.endpoints[which % world.endpoints.size()]; }

    void nothing(soak_world&, size_t) { }

    // --- Nodes

    void killNode(soak_world& world, size_t which, uint32_t)
    {
        node_site& site = nodeAt(world, which);
        site.isMeantToRun = false;
        Harness::killProcess(site.node->child);
    }

    void reviveNode(soak_world& world, size_t which) { startNode(world, nodeAt(world, which)); }

    void killAll(soak_world& world, size_t, uint32_t)
    {
        for (size_t which = 0; which < world.nodes.size(); ++which)
            killNode(world, which, 0);
    }

    void reviveAll(soak_world& world, size_t)
    {
        for (size_t which = 0; which < world.nodes.size(); ++which)
            reviveNode(world, which);
    }

    void freezeNode(soak_world& world, size_t which, uint32_t) { Harness::signalProcess(nodeAt(world, which).node->child, SIGSTOP); }
    void wakeNode(soak_world& world, size_t which) { Harness::signalProcess(nodeAt(world, which).node->child, SIGCONT); }

    void stopNode(soak_world& world, size_t which, uint32_t)
    {
        node_site& site = nodeAt(world, which);
        site.isMeantToRun = false;
        Harness::signalProcess(site.node->child, SIGTERM);
    }

    void endStoppedNode(soak_world& world, size_t which)
    {
        node_site& site = nodeAt(world, which);
        const bool hasEnded = Harness::waitForExit(site.node->child, graceMs) == 0;
        // A process that gets the signal before it has begun has taken nothing that it could lose.
        if (!hasEnded && site.node->hasBegun())
            world.checker.noteBreach("ENDED", fmt::format("node {} did not end by itself after SIGTERM: wait status {:#x}", site.number, site.node->child.endStatus));
        Harness::killProcess(site.node->child);
        startNode(world, site);
    }

    void renewSettings(soak_world& world, size_t which, uint32_t detail)
    {
        const node_site& site = nodeAt(world, which);
        constexpr const char* variants[] = { "some.new=1\n", "bounds.drainMs=soon\n", "" };
        site.node->writeSettings(variants[detail % std::size(variants)]);
        if (detail % 2 == 0)
            Harness::signalProcess(nodeAt(world, which).node->child, SIGHUP);
    }

    void restoreSettings(soak_world& world, size_t which) { nodeAt(world, which).node->writeSettings(""); }

    // --- Links

    link_state harmOf(uint32_t detail)
    {
        constexpr link_state states[] = { link_state::Slow, link_state::NothingForward, link_state::NothingBackward, link_state::Silent };
        return states[detail % std::size(states)];
    }

    void harmStoreLink(soak_world& world, size_t which, uint32_t detail) { nodeAt(world, which).storeLink->setState(harmOf(detail)); }
    void mendStoreLink(soak_world& world, size_t which) { nodeAt(world, which).storeLink->setState(link_state::Clear); }
    void resetStoreLink(soak_world& world, size_t which, uint32_t) { nodeAt(world, which).storeLink->resetAll(); }
    void harmCallerLink(soak_world& world, size_t which, uint32_t detail) { nodeAt(world, which).callerLink->setState(harmOf(detail)); }
    void mendCallerLink(soak_world& world, size_t which) { nodeAt(world, which).callerLink->setState(link_state::Clear); }
    void resetCallerLink(soak_world& world, size_t which, uint32_t) { nodeAt(world, which).callerLink->resetAll(); }
    void harmEndpointLink(soak_world& world, size_t which, uint32_t detail) { endpointAt(world, which).link->setState(harmOf(detail)); }
    void mendEndpointLink(soak_world& world, size_t which) { endpointAt(world, which).link->setState(link_state::Clear); }
    void resetEndpointLink(soak_world& world, size_t which, uint32_t) { endpointAt(world, which).link->resetAll(); }

    // --- Endpoints

    void misbehave(soak_world& world, size_t which, uint32_t detail)
    {
        endpointAt(world, which).endpoint->setConduct(static_cast<endpoint_conduct>(1 + detail % (endpointConductCount - 1)));
    }

    void behave(soak_world& world, size_t which) { endpointAt(world, which).endpoint->setConduct(endpoint_conduct::Sound); }

    void announceLeaving(soak_world& world, size_t which, uint32_t)
    {
        endpoint_site& site = endpointAt(world, which);
        registerEndpoint(world, site, "draining");
        world.checker.noteEndpointLeaving(site.endpoint->name(), clock::now());
    }

    /// The endpoint has gone, and another process takes its address.
    void replaceEndpoint(soak_world& world, size_t which)
    {
        endpoint_site& site = endpointAt(world, which);
        world.store.remove("servers", site.endpoint->name());
        ++site.started;
        const std::string name = site.endpoint->name();
        site.endpoint->rename(fmt::format("{}.{}", name.substr(0, name.find('.')), site.started));
        registerEndpoint(world, site, "ready");
    }

    void spoilEntry(soak_world& world, size_t which, uint32_t) { world.store.put("servers", fmt::format("odd-{}", which), "no entry"); }
    void removeSpoiledEntry(soak_world& world, size_t which) { world.store.remove("servers", fmt::format("odd-{}", which)); }

    // --- What the nodes share

    void harmStore(soak_world& world, size_t, uint32_t detail)
    {
        constexpr store_mode modes[] = { store_mode::Busy, store_mode::Silent, store_mode::ForgetHistory };
        world.store.setMode(modes[detail % std::size(modes)]);
    }

    void mendStore(soak_world& world, size_t) { world.store.setMode(store_mode::Serve); }

    void harmCloud(soak_world& world, size_t, uint32_t detail)
    {
        constexpr cloud_mode modes[] = { cloud_mode::Busy, cloud_mode::Down, cloud_mode::LoseAnswers, cloud_mode::Late };
        world.cloud.setMode(modes[detail % std::size(modes)]);
    }

    void mendCloud(soak_world& world, size_t) { world.cloud.setMode(cloud_mode::Serve); }

    void changeCatalog(soak_world& world, size_t, uint32_t) { sendNextCatalog(world); }

    constexpr fault faults[] = {
        { "node_stopped", harmed_part::Node, true, 4200, 800, stopNode, endStoppedNode },
        { "settings_renewed", harmed_part::Node, true, 300, 1200, renewSettings, restoreSettings },
        { "endpoint_replaced", harmed_part::Endpoint, true, 5500, 2500, announceLeaving, replaceEndpoint },
        { "catalog_changed", harmed_part::Catalog, true, 200, 2000, changeCatalog, nothing },
        { "node_killed", harmed_part::Node, false, 200, 3000, killNode, reviveNode },
        { "node_frozen", harmed_part::Node, false, 300, 4500, freezeNode, wakeNode },
        { "store_link_harmed", harmed_part::StoreLink, false, 500, 5000, harmStoreLink, mendStoreLink },
        { "store_link_reset", harmed_part::StoreLink, false, 0, 100, resetStoreLink, nothing },
        { "caller_link_harmed", harmed_part::CallerLink, false, 200, 2500, harmCallerLink, mendCallerLink },
        { "caller_link_reset", harmed_part::CallerLink, false, 0, 100, resetCallerLink, nothing },
        { "endpoint_link_harmed", harmed_part::EndpointLink, false, 200, 2500, harmEndpointLink, mendEndpointLink },
        { "endpoint_link_reset", harmed_part::EndpointLink, false, 0, 100, resetEndpointLink, nothing },
        { "endpoint_misbehaves", harmed_part::Endpoint, false, 300, 3000, misbehave, behave },
        { "entry_unreadable", harmed_part::Catalog, false, 100, 1500, spoilEntry, removeSpoiledEntry },
        { "store_harmed", harmed_part::Store, false, 500, 5000, harmStore, mendStore },
        { "cloud_harmed", harmed_part::Cloud, false, 1000, 6000, harmCloud, mendCloud },
    };

    /// Kills every node at once; played alone, as it harms all nodes.
    constexpr fault powerLoss { "all_nodes_killed", harmed_part::Node, false, 300, 2000, killAll, reviveAll };
    constexpr uint32_t powerLossOneIn = 25;

    struct active_fault {
        const fault* what;
        size_t which;
        clock::time_point until;
    };

    /// The state of a plan that is being played.
    struct plan_run {
        soak_world& world;
        const plan_settings& settings;
        Common::random_source random;
        std::vector<active_fault> active;
        std::map<std::string, int> counts;
    };

    bool isFree(const plan_run& run, harmed_part part, size_t which)
    {
        return std::none_of(run.active.begin(), run.active.end(), [&](const active_fault& item) {
            return item.what->part == part && (item.which == which || item.what == &powerLoss);
        });
    }

    bool anyNodeHarmed(const plan_run& run)
    {
        return std::any_of(run.active.begin(), run.active.end(), [](const active_fault& item) { return item.what->part == harmed_part::Node; });
    }

    size_t drawTarget(plan_run& run, harmed_part part)
    {
        const bool isOfEndpoint = part == harmed_part::Endpoint || part == harmed_part::EndpointLink;
        const size_t count = isOfEndpoint ? run.world.endpoints.size() : run.world.nodes.size();
        const bool isShared = part == harmed_part::Store || part == harmed_part::Cloud || part == harmed_part::Catalog;
        return isShared ? 0 : Common::uniformBelow(run.random, static_cast<uint32_t>(count));
    }

    void begin(plan_run& run, const fault& what, size_t which)
    {
        constexpr uint32_t detailBound = 1000;
        const milliseconds lasting(what.shortestMs + Common::uniformBelow(run.random, what.spreadMs));
        if (!what.isPlanned)
            run.world.checker.noteDisturbance(clock::now() + lasting);
        ++run.counts[what.name];
        what.cause(run.world, which, Common::uniformBelow(run.random, detailBound));
        run.active.push_back({ &what, which, clock::now() + lasting });
    }

    void drawFault(plan_run& run)
    {
        if (!run.settings.isPlannedOnly && !anyNodeHarmed(run) && Common::uniformBelow(run.random, powerLossOneIn) == 0)
            return begin(run, powerLoss, 0);
        const fault& what = faults[Common::uniformBelow(run.random, std::size(faults))];
        if (run.settings.isPlannedOnly && !what.isPlanned)
            return;
        const size_t which = drawTarget(run, what.part);
        if (isFree(run, what.part, which))
            begin(run, what, which);
    }

    void repairDue(plan_run& run, clock::time_point now)
    {
        std::erase_if(run.active, [&](const active_fault& item) {
            if (item.until > now)
                return false;
            item.what->repair(run.world, item.which);
            if (!item.what->isPlanned)
                run.world.checker.noteDisturbance(clock::now());
            return true;
        });
    }

} // namespace

std::map<std::string, int> playPlan(soak_world& world, const plan_settings& settings)
{
    plan_run run { world, settings, Common::random_source(settings.seed), {}, {} };
    const auto end = clock::now() + settings.length;
    auto nextAt = clock::now();
    while (clock::now() < end) {
        repairDue(run, clock::now());
        checkProcesses(world);
        if (clock::now() >= nextAt && run.active.size() < mostAtOnce) {
            drawFault(run);
            nextAt = clock::now() + milliseconds(shortestPauseMs + Common::uniformBelow(run.random, pauseSpreadMs));
        }
        std::this_thread::sleep_for(planStep);
    }
    repairDue(run, clock::time_point::max());
    return run.counts;
}

} // namespace Faults
