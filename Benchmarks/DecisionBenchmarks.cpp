/// @file
/// CPU time and memory of the decision code for growing numbers of endpoints, members, requests and accounts.

#include "Configuration/VersionChain.h"
#include "Dispatch/Dispatcher.h"
#include "Endpoints/EndpointTable.h"
#include "Idempotency/Claim.h"
#include "Membership/Members.h"
#include "Routing/Router.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace {

const Common::instant testStart = Common::instant {} + std::chrono::hours(1);

size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

Endpoints::instance_info makeInstance(size_t index)
{
    constexpr size_t zones = 3;
    constexpr int64_t basePrice = 700000;
    Endpoints::instance_info info;
    info.id = { "engine-" + std::to_string(index) };
    info.service = "summary-model";
    info.version = { "v1" };
    info.address = "10.0.0.1:" + std::to_string(index);
    info.zone = { "zone-" + std::to_string(index % zones) };
    info.region = { "region-1" };
    info.pricePerHour = { basePrice + static_cast<int64_t>(index % zones) * basePrice };
    info.slots = 8;
    return info;
}

std::vector<Endpoints::instance_info> makeInstances(size_t count)
{
    std::vector<Endpoints::instance_info> instances;
    for (size_t index = 0; index < count; ++index)
        instances.push_back(makeInstance(index));
    return instances;
}

Endpoints::endpoint_table makeTable(size_t count)
{
    Endpoints::endpoint_table table;
    table.self = { { "node-1" }, { "region-1" } };
    stepEndpoints(table, Endpoints::cloud_list { makeInstances(count) }, testStart);
    return table;
}

Configuration::class_of_work makeClass()
{
    Configuration::class_of_work work;
    work.name = { "summary" };
    work.service = "summary-model";
    return work;
}

/// One routing decision over the node's subset of endpoints, out of `known` endpoints.
void routeOverSubset(benchmark::State& state)
{
    const auto known = static_cast<size_t>(state.range(0));
    const Endpoints::endpoint_table table = makeTable(known);
    Routing::router_state router;
    router.zone = { "zone-0" };
    router.region = { "region-1" };
    setEndpoints(router, *listUsable(table, testStart), testStart);
    const auto work = makeClass();
    Routing::routing_request request;
    request.work = &work;
    for (auto _ : state)
        benchmark::DoNotOptimize(chooseEndpoint(router, request, testStart));
    state.counters["subset"] = static_cast<double>(router.views.size());
}
BENCHMARK(routeOverSubset)->Arg(12)->Arg(200)->Arg(1500)->Arg(12000);

/// One routing decision over all endpoints, for comparison with routeOverSubset.
void routeOverAll(benchmark::State& state)
{
    Routing::router_state router;
    router.region = { "region-1" };
    setEndpoints(router, makeInstances(static_cast<size_t>(state.range(0))), testStart);
    const auto work = makeClass();
    Routing::routing_request request;
    request.work = &work;
    for (auto _ : state)
        benchmark::DoNotOptimize(chooseEndpoint(router, request, testStart));
}
BENCHMARK(routeOverAll)->Arg(12)->Arg(200)->Arg(1500)->Arg(12000);

void endpointMemory(benchmark::State& state)
{
    const auto known = static_cast<size_t>(state.range(0));
    for (auto _ : state) {
        const size_t before = allocatedBytes();
        const Endpoints::endpoint_table table = makeTable(known);
        state.counters["bytes_per_endpoint"] = static_cast<double>(allocatedBytes() - before) / static_cast<double>(known);
        benchmark::DoNotOptimize(table.entries.size());
    }
}
BENCHMARK(endpointMemory)->Arg(200)->Arg(1500)->Arg(12000)->Iterations(1);

void readCloudList(benchmark::State& state)
{
    Endpoints::endpoint_table table = makeTable(static_cast<size_t>(state.range(0)));
    const auto instances = makeInstances(static_cast<size_t>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(stepEndpoints(table, Endpoints::cloud_list { instances }, testStart));
}
BENCHMARK(readCloudList)->Arg(12)->Arg(200)->Arg(1500)->Arg(12000);

Membership::membership_state makeMembers(size_t count)
{
    Membership::membership_state members;
    members.self.id = { "self" };
    members.lastTick = testStart;
    std::vector<Membership::member> facts;
    for (size_t index = 1; index < count; ++index) {
        Membership::member item;
        item.id = { "node-" + std::to_string(index) };
        item.peerAddress = "10.0.0.1:" + std::to_string(index);
        item.httpAddress = "10.0.0.2:" + std::to_string(index);
        item.zone = { "zone-1" };
        item.region = { "region-1" };
        item.incarnation = { 1 };
        facts.push_back(item);
    }
    stepMembership(members, Membership::member_records_received { { "seed" }, facts }, testStart);
    return members;
}

/// The probes that a node sends in one interval, and its answers to as many probes of others.
void probeRound(benchmark::State& state)
{
    Membership::membership_state members = makeMembers(static_cast<size_t>(state.range(0)));
    Common::instant now = testStart;
    const Membership::member from = members.members.begin()->second;
    for (auto _ : state) {
        now += 2 * members.settings.probeInterval;
        for (auto& [id, link] : members.links)
            link.lastReceivedAt = now;
        benchmark::DoNotOptimize(stepMembership(members, Membership::membership_tick {}, now));
        for (size_t link = 0; link < members.links.size(); ++link) {
            Membership::probe_received probe;
            probe.from = from.id;
            probe.fromAddress = from.peerAddress;
            probe.incarnation = from.incarnation;
            benchmark::DoNotOptimize(stepMembership(members, std::move(probe), now));
        }
    }
    state.counters["links"] = static_cast<double>(members.links.size());
}
BENCHMARK(probeRound)->Arg(7)->Arg(50)->Arg(150)->Arg(400);

/// One change of a member: merging it, choosing links, and passing the change on.
void memberChange(benchmark::State& state)
{
    Membership::membership_state members = makeMembers(static_cast<size_t>(state.range(0)));
    Membership::member changing = members.members.begin()->second;
    for (auto _ : state) {
        changing.incarnation.value += 1;
        benchmark::DoNotOptimize(stepMembership(members, Membership::member_records_received { { "x" }, { changing } }, testStart));
    }
}
BENCHMARK(memberChange)->Arg(7)->Arg(50)->Arg(150)->Arg(400);

void memberMemory(benchmark::State& state)
{
    const auto count = static_cast<size_t>(state.range(0));
    for (auto _ : state) {
        const size_t before = allocatedBytes();
        const Membership::membership_state members = makeMembers(count);
        state.counters["bytes_per_member"] = static_cast<double>(allocatedBytes() - before) / static_cast<double>(count);
        benchmark::DoNotOptimize(members.members.size());
    }
}
BENCHMARK(memberMemory)->Arg(50)->Arg(150)->Arg(400)->Iterations(1);

Configuration::change makeChange(uint64_t version, size_t accounts)
{
    Configuration::change item;
    item.version = { version };
    item.token = "t";
    item.kind = Configuration::change_kind::Account;
    item.subject = "account-" + std::to_string(version % accounts);
    item.body = nlohmann::json { { "name", item.subject }, { "key_digest", std::string(64, 'a') } };
    return item;
}

/// One configuration change received from a peer, applied to a configuration with the given number of accounts.
void configurationChange(benchmark::State& state)
{
    const auto accounts = static_cast<size_t>(state.range(0));
    Configuration::chain_state chain;
    uint64_t version = 0;
    while (version < accounts) {
        ++version;
        stepChain(chain, Configuration::peer_changes { { makeChange(version, accounts) } }, testStart);
    }
    for (auto _ : state) {
        ++version;
        benchmark::DoNotOptimize(stepChain(chain, Configuration::peer_changes { { makeChange(version, accounts) } }, testStart));
    }
}
BENCHMARK(configurationChange)->Arg(5)->Arg(100)->Arg(1000);

void configurationMemory(benchmark::State& state)
{
    const auto accounts = static_cast<size_t>(state.range(0));
    for (auto _ : state) {
        const size_t before = allocatedBytes();
        Configuration::configuration config;
        for (uint64_t version = 1; version <= accounts; ++version)
            applyChange(config, makeChange(version, accounts));
        state.counters["bytes_per_account"] = static_cast<double>(allocatedBytes() - before) / static_cast<double>(accounts);
        benchmark::DoNotOptimize(config.accounts.size());
    }
}
BENCHMARK(configurationMemory)->Arg(100)->Arg(1000)->Iterations(1);

Dispatch::dispatch_state makeDispatch()
{
    Dispatch::dispatch_state dispatch;
    dispatch.settings.node = { "node-1" };
    dispatch.admission.settings.maxInFlight = 1000000;
    stepDispatch(dispatch, Dispatch::endpoints_published { std::make_shared<const std::vector<Endpoints::instance_info>>(makeInstances(200)), 1 }, { testStart, {} });
    return dispatch;
}

Dispatch::caller_request makeRequest(uint64_t token)
{
    Dispatch::caller_request request;
    request.token = { token };
    request.account = { "depot-east" };
    request.work = makeClass();
    request.isStreamed = true;
    request.body = { { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", "crates 14 to 20" } } }) } };
    return request;
}

/// One request from its arrival to its end, with ten tokens, over a subset of 200 endpoints.
void wholeRequest(benchmark::State& state)
{
    Dispatch::dispatch_state dispatch = makeDispatch();
    const Dispatch::clock_reading clock { testStart, {} };
    uint64_t token = 0;
    for (auto _ : state) {
        stepDispatch(dispatch, makeRequest(++token), clock);
        const Common::attempt_number attempt { dispatch.lastAttempt };
        for (int position = 0; position < 10; ++position)
            stepDispatch(dispatch, Dispatch::attempt_tokens { attempt, { "token " } }, clock);
        stepDispatch(dispatch, Dispatch::attempt_ended { attempt, Http::transfer_end::Complete, 200, {}, "stop" }, clock);
        for (const Endpoints::instance_info& info : makeInstances(1))
            applyLoadReport(dispatch.router, { info.id, 0, 0, false });
    }
}
BENCHMARK(wholeRequest);

void oneToken(benchmark::State& state)
{
    Dispatch::dispatch_state dispatch = makeDispatch();
    const Dispatch::clock_reading clock { testStart, {} };
    stepDispatch(dispatch, makeRequest(1), clock);
    for (auto _ : state) {
        benchmark::DoNotOptimize(stepDispatch(dispatch, Dispatch::attempt_tokens { { 1 }, { "token " } }, clock));
        stepDispatch(dispatch, Dispatch::caller_progress { { 1 }, 6, true }, clock);
    }
}
BENCHMARK(oneToken);

void requestMemory(benchmark::State& state)
{
    const auto count = static_cast<uint64_t>(state.range(0));
    for (auto _ : state) {
        Dispatch::dispatch_state dispatch = makeDispatch();
        const size_t before = allocatedBytes();
        for (uint64_t token = 1; token <= count; ++token)
            stepDispatch(dispatch, makeRequest(token), { testStart, {} });
        state.counters["bytes_per_request"] = static_cast<double>(allocatedBytes() - before) / static_cast<double>(count);
    }
}
BENCHMARK(requestMemory)->Arg(100)->Arg(1000)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
