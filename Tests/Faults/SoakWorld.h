#pragma once

/// @file
/// Everything that a run of the soak consists of: the store, the cloud, real nodes and endpoints, with a proxy on each
/// link that the plan may harm.

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
};

/// A node with the links that it uses.
struct node_site {
    int number { 0 };
    std::unique_ptr<loopback_proxy> storeLink;
    std::unique_ptr<loopback_proxy> cloudLink;
    std::unique_ptr<PlatformTests::running_node> node;
    std::unique_ptr<loopback_proxy> callerLink;
    std::atomic<bool> isMeantToRun { true };
};

/// An endpoint with the one link that all nodes reach it by.
struct endpoint_site {
    std::unique_ptr<soak_endpoint> endpoint;
    std::unique_ptr<loopback_proxy> link;
    int64_t started { 1 };
};

struct soak_world {
    promise_checker& checker;
    PlatformTests::store_stand_in store;
    PlatformTests::cloud_stand_in cloud;
    std::vector<std::unique_ptr<endpoint_site>> endpoints;
    std::vector<std::unique_ptr<node_site>> nodes;
    std::atomic<uint64_t> catalogVersion { 10 };

    soak_world(const world_settings& settings, promise_checker& checker);
};

/// Writes an endpoint's entry into the store.
void registerEndpoint(soak_world& world, endpoint_site& site, const char* state);
/// The operator sends the next version of the catalog.
void sendNextCatalog(soak_world& world);
/// Starts a node's process once more.
void startNode(soak_world& world, node_site& site);
/// @return how callers reach the nodes.
std::vector<node_doors> doorsOf(const soak_world& world);
/// Reports nodes whose process ended by itself.
void checkProcesses(soak_world& world);

} // namespace Faults
