#pragma once

/// @file
/// The system under test in a soak run: store, cloud, real nodes and endpoints, with a proxy on each link that the fault
/// plan may impair.

#include "Faults/LoopbackProxy.h"
#include "Faults/PromiseChecker.h"
#include "Faults/SoakCaller.h"
#include "Faults/SoakEndpoint.h"
#include "Platform/CloudStandIn.h"
#include "Platform/RunningNode.h"
#include "Platform/StoreStandIn.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace Faults {

struct world_settings {
    int nodes { 3 };
    int endpoints { 3 };
    std::vector<std::string> programs {}; ///< Of each node's processes, in order of their starts; empty: the program of this build.
};

/// A node and the proxies on its links.
struct proxied_node {
    int number { 0 };
    std::unique_ptr<loopback_proxy> storeLink; ///< From the node to the store.
    std::unique_ptr<loopback_proxy> cloudLink; ///< From the node to the cloud.
    std::unique_ptr<PlatformTests::running_node> node;
    std::unique_ptr<loopback_proxy> callerLink; ///< From the callers to the node.
    std::atomic<bool> shouldBeRunning { true }; ///< False after the plan stopped or killed the process, or its end was reported.
};

/// An endpoint and the proxy through which all nodes reach it.
struct proxied_endpoint {
    std::unique_ptr<soak_endpoint> endpoint;
    std::unique_ptr<loopback_proxy> link;
    int64_t incarnation { 1 }; ///< Counts the processes at this address; the "born" field of the store's row.
};

/// Starts all components on construction; the destructor stops them.
struct soak_world {
    promise_checker& checker;
    PlatformTests::store_stand_in store;
    PlatformTests::cloud_stand_in cloud;
    std::vector<std::unique_ptr<proxied_endpoint>> endpoints;
    std::vector<std::unique_ptr<proxied_node>> nodes;
    std::atomic<uint64_t> catalogVersion { 10 };

    soak_world(const world_settings& settings, promise_checker& checker);
};

/// Writes the endpoint's row to the store.
/// @param state lifecycle state, "ready" or "draining".
void registerEndpoint(soak_world& world, proxied_endpoint& proxied, const char* state);
/// Writes the next catalog version to the store, as an operator does.
void sendNextCatalog(soak_world& world);
/// Starts a new process for a node that has ended.
void restartNode(soak_world& world, proxied_node& proxied);
/// @return the ports at which callers reach the nodes.
std::vector<node_ports> nodePortsOf(const soak_world& world);
/// Records a breach for each node whose process ended although the plan did not stop it.
void checkProcesses(soak_world& world);

} // namespace Faults
