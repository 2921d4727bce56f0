#include "Faults/SoakWorld.h"

#include <fmt/format.h>

namespace Faults {

namespace {

    const std::vector<std::string> settingsLines { "bounds.retryBudgetRatio=0.2", "bounds.retrySlack=30", "bounds.budgetWindowS=10", "bounds.quotaWindowS=8",
        "bounds.configMs=4000", "bounds.drainMs=4000", "bounds.windowS=5", "bounds.usageLateS=10", "bounds.leaseMs=3000", "bounds.requireFence=true" };

    std::unique_ptr<proxied_endpoint> makeEndpoint(int number, promise_checker& checker)
    {
        auto proxied = std::make_unique<proxied_endpoint>();
        proxied->endpoint = std::make_unique<soak_endpoint>(fmt::format("e{}", number), checker);
        proxied->link = std::make_unique<loopback_proxy>(proxied->endpoint->port());
        return proxied;
    }

    uint16_t portOf(const std::string& address)
    {
        return static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    }

    std::unique_ptr<proxied_node> makeNode(soak_world& world, int number, const std::vector<std::string>& programs)
    {
        auto proxied = std::make_unique<proxied_node>();
        proxied->number = number;
        proxied->storeLink = std::make_unique<loopback_proxy>(portOf(world.store.address()));
        proxied->cloudLink = std::make_unique<loopback_proxy>(world.cloud.port());
        world.checker.recordNodeStart(number, std::chrono::steady_clock::now());
        PlatformTests::node_surroundings surroundings;
        surroundings.name = fmt::format("n{}", number);
        surroundings.storeAddress = proxied->storeLink->address();
        surroundings.cloudAddress = proxied->cloudLink->address();
        surroundings.moreLines = settingsLines;
        surroundings.programs = programs;
        proxied->node = std::make_unique<PlatformTests::running_node>(std::move(surroundings));
        proxied->callerLink = std::make_unique<loopback_proxy>(proxied->node->callers());
        return proxied;
    }

} // namespace

soak_world::soak_world(const world_settings& settings, promise_checker& promiseChecker)
    : checker(promiseChecker)
{
    sendNextCatalog(*this);
    for (int number = 1; number <= settings.endpoints; ++number) {
        endpoints.push_back(makeEndpoint(number, checker));
        registerEndpoint(*this, *endpoints.back(), "ready");
    }
    for (int number = 1; number <= settings.nodes; ++number)
        nodes.push_back(makeNode(*this, number, settings.programs));
}

void registerEndpoint(soak_world& world, proxied_endpoint& proxied, const char* state)
{
    constexpr int slots = 16;
    world.store.put("servers", proxied.endpoint->name(),
        { { "service", "s" }, { "address", proxied.link->address() }, { "zone", "z" }, { "version", "v1" }, { "slots", slots }, { "state", state }, { "born", proxied.incarnation } });
}

void sendNextCatalog(soak_world& world)
{
    const uint64_t version = world.catalogVersion + 1;
    world.checker.recordCatalogSent(version);
    world.store.put("op", "config", makeCatalog(version));
    world.checker.recordCatalogAcknowledged(version, std::chrono::steady_clock::now());
    world.catalogVersion = version;
}

void restartNode(soak_world& world, proxied_node& proxied)
{
    world.checker.recordNodeStart(proxied.number, std::chrono::steady_clock::now());
    proxied.node->startAgain();
    proxied.shouldBeRunning = true;
}

std::vector<node_ports> nodePortsOf(const soak_world& world)
{
    std::vector<node_ports> ports;
    for (const auto& proxied : world.nodes)
        ports.push_back({ proxied->number, proxied->node->ready(), proxied->node->callers(), proxied->callerLink->port() });
    return ports;
}

void checkProcesses(soak_world& world)
{
    for (const auto& proxied : world.nodes) {
        if (!proxied->shouldBeRunning || Harness::isRunning(proxied->node->child))
            continue;
        world.checker.recordBreach("ENDED", fmt::format("process of node {} ended although it was not stopped: wait status {:#x}", proxied->number, proxied->node->child.waitStatus));
        proxied->shouldBeRunning = false;
    }
}

} // namespace Faults
