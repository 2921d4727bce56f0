/// @file
/// Fault soak: runs real nodes as separate processes with stand-ins of the platform, causes seeded faults from outside
/// and checks what callers, endpoints and the cloud observe.

#include "Faults/PromiseChecker.h"
#include "Faults/SoakCaller.h"
#include "Faults/SoakPlan.h"
#include "Faults/SoakWorld.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace {

using namespace Faults;
using clock_type = std::chrono::steady_clock;

constexpr milliseconds warmUpTime { 1500 };
constexpr milliseconds checkInterval { 500 };
constexpr double recoveredShare = 0.9;
/// Specified time limit for recovery, checked with --timed.
constexpr milliseconds recoveryBound { 15000 };
/// Limit without --timed, long enough for a loaded machine.
constexpr milliseconds untimedRecoveryBound { 120000 };

struct run_options {
    uint64_t seed { 1 };
    int seconds { 15 };
    int callers { 8 };
    world_settings world;
    bool isTimed { false };
    bool restoresStore { false };
    bool isPlannedOnly { false };
    std::string logFolder;
};

/// Waits until at least recoveredShare of the callers' requests succeed; records a breach when the time limit passes.
void awaitRecovery(promise_checker& checker, const run_options& options)
{
    const auto startedAt = clock_type::now();
    const milliseconds bound = options.isTimed ? recoveryBound : untimedRecoveryBound;
    checker.takeServedCounts();
    while (clock_type::now() < startedAt + bound) {
        std::this_thread::sleep_for(checkInterval);
        const promise_checker::served_counts counts = checker.takeServedCounts();
        if (counts.expected > options.callers && counts.served >= counts.expected * recoveredShare)
            return;
    }
    checker.recordBreach("RECOVER", "callers' requests do not succeed again within the time limit after all faults were repaired");
}

void saveLogs(const soak_world& world, const std::string& folder)
{
    std::filesystem::create_directories(folder);
    for (const auto& proxied : world.nodes)
        std::ofstream(fmt::format("{}/node-{}.log", folder, proxied->number)) << proxied->node->log();
}

void print(const run_options& options, const promise_checker& checker, const std::map<std::string, int>& faults)
{
    nlohmann::ordered_json line { { "seed", options.seed }, { "nodes", options.world.nodes }, { "planned_only", options.isPlannedOnly }, { "timed", options.isTimed } };
    line["faults"] = faults;
    line["outcomes"] = checker.outcomes();
    line["breaches"] = nlohmann::json::array();
    for (const breach& item : checker.breaches())
        line["breaches"].push_back(item.rule + ": " + item.description);
    std::cout << line.dump() << std::endl;
}

int run(const run_options& options)
{
    promise_checker checker({ options.isTimed, options.isPlannedOnly });
    soak_world world(options.world, checker);
    std::atomic<bool> shouldStop { false };
    std::vector<std::thread> callers;
    for (int number = 1; number <= options.callers; ++number) {
        caller_settings settings { number, options.seed, nodePortsOf(world), [&shouldStop] { return shouldStop.load(); }, [&world] { return world.catalogVersion.load(); }, number % 4 == 0 };
        callers.emplace_back([settings, &checker] { runCaller(settings, checker); });
    }
    std::this_thread::sleep_for(warmUpTime);
    awaitRecovery(checker, options);
    const auto faults = runPlan(world, { options.seed, std::chrono::seconds(options.seconds), options.restoresStore, options.isPlannedOnly });
    awaitRecovery(checker, options);
    shouldStop = true;
    for (std::thread& caller : callers)
        caller.join();
    checkProcesses(world);
    checker.finish(world.cloud.calls());
    print(options, checker, faults);
    const bool isClean = checker.breaches().empty();
    if (!isClean && !options.logFolder.empty())
        saveLogs(world, fmt::format("{}/seed-{}", options.logFolder, options.seed));
    return isClean ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    run_options options;
    CLI::App app { "Runs real nodes with stand-ins of the platform under seeded faults. Exit codes: 0 no breach, 1 a breach." };
    app.add_option("--seed", options.seed);
    app.add_option("--seconds", options.seconds, "Length of the fault plan in seconds");
    app.add_option("--nodes", options.world.nodes);
    app.add_option("--endpoints", options.world.endpoints);
    app.add_option("--callers", options.callers);
    app.add_option("--keep", options.logFolder, "Folder for the nodes' logs of a run with a breach");
    app.add_option("--programs", options.world.programs, "Programs of each node's processes, in order of their starts, for upgrades")->delimiter(',');
    app.add_flag("--timed", options.isTimed, "Also check time limits; requires a machine with idle processor time");
    app.add_flag("--store-restores", options.restoresStore, "The store is at times restored from an older copy");
    app.add_flag("--planned-only", options.isPlannedOnly, "Only planned operations: no accepted request may be lost");
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
