#include "Faults/SoakWorld.h"

#include <fmt/format.h>

namespace Faults {

namespace {

    const std::vector<std::string> boundLines { "bounds.retryBudgetRatio=0.2", "bounds.retrySlack=30", "bounds.budgetWindowS=10", "bounds.quotaWindowS=8",
        "bounds.configMs=4000", "bounds.drainMs=4000", "bounds.windowS=5", "bounds.usageLateS=10", "bounds.leaseMs=3000", "bounds.requireFence=true" };

    std::unique_ptr<endpoint_site> makeEndpoint(int number, promise_checker& checker)
    {
        auto site = std::make_unique<endpoint_site>();
        site->endpoint = std::make_unique<soak_endpoint>(fmt::format("e{}", number), checker);
        site->link = std::make_unique<loopback_proxy>(site->endpoint->port());
        return site;
    }

    uint16_t portOf(const std::string& address)
    {
        return static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    }

    std::unique_ptr<node_site> makeNode(soak_world& world, int number)
    {
        auto site = std::make_unique<node_site>();
        site->number = number;
        site->storeLink = std::make_unique<loopback_proxy>(portOf(world.store.address()));
        site->cloudLink = std::make_unique<loopback_proxy>(world.cloud.port());
        world.checker.noteNodeStart(number, std::chrono::steady_clock::now());
        PlatformTests::node_surroundings surroundings;
        surroundings.name = fmt::format("n{}", number);
        surroundings.storeAddress = site->storeLink->address();
        surroundings.cloudAddress = site->cloudLink->address();
        surroundings.moreLines = boundLines;
        site->node = std::make_unique<PlatformTests::running_node>(std::move(surroundings));
        site->callerLink = std::make_unique<loopback_proxy>(site->node->callers());
        return site;
    }

} // namespace

soak_world::soak_world(const world_settings& settings, promise_checker& used)
    : checker(used)
{
    sendNextCatalog(*this);
    for (int number = 1; number <= settings.endpoints; ++number) {
        endpoints.push_back(makeEndpoint(number, checker));
        registerEndpoint(*this, *endpoints.back(), "ready");
    }
    for (int number = 1; number <= settings.nodes; ++number)
        nodes.push_back(makeNode(*this, number));
}

void registerEndpoint(soak_world& world, endpoint_site& site, const char* state)
{
    constexpr int slots = 16;
    world.store.put("servers", site.endpoint->name(),
        { { "service", "s" }, { "address", site.link->address() }, { "zone", "z" }, { "version", "v1" }, { "slots", slots }, { "state", state }, { "born", site.started } });
}

void sendNextCatalog(soak_world& world)
{
    const uint64_t version = world.catalogVersion + 1;
    world.checker.noteCatalogSent(version);
    world.store.put("op", "config", makeCatalog(version));
    world.checker.noteCatalogAcknowledged(version, std::chrono::steady_clock::now());
    world.catalogVersion = version;
}

void startNode(soak_world& world, node_site& site)
{
    world.checker.noteNodeStart(site.number, std::chrono::steady_clock::now());
    site.node->startAgain();
    site.isMeantToRun = true;
}

std::vector<node_doors> doorsOf(const soak_world& world)
{
    std::vector<node_doors> doors;
    for (const auto& site : world.nodes)
        doors.push_back({ site->number, site->node->ready(), site->node->callers(), site->callerLink->port() });
    return doors;
}

void checkProcesses(soak_world& world)
{
    for (const auto& site : world.nodes) {
        if (!site->isMeantToRun || Harness::isRunning(site->node->child))
            continue;
        world.checker.noteBreach("ENDED", fmt::format("node {} ended by itself", site->number));
        site->isMeantToRun = false;
    }
}

} // namespace Faults
