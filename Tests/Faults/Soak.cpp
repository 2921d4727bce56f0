/// @file
/// The fault soak: real nodes as separate processes on stand-ins of the platform, seeded faults from outside them, and
/// checks of what callers, endpoints and the cloud see while it runs.

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

constexpr milliseconds quietAtFirst { 1500 };
constexpr milliseconds shareInterval { 500 };
constexpr double recoveredShare = 0.9;
/// The stated bound, and the longest wait of a run in which times don't count.
constexpr milliseconds recoveryBound { 15000 };
constexpr milliseconds longestRecovery { 120000 };

struct run_options {
    uint64_t seed { 1 };
    int seconds { 15 };
    int callers { 8 };
    world_settings world;
    bool isTimed { false };
    bool isPlannedOnly { false };
    std::string keepFolder;
};

/// Waits until callers are served again, now that nothing is harmed any more.
void awaitRecovery(promise_checker& checker, const run_options& options)
{
    const auto from = clock_type::now();
    const milliseconds bound = options.isTimed ? recoveryBound : longestRecovery;
    checker.takeServedShare();
    while (clock_type::now() < from + bound) {
        std::this_thread::sleep_for(shareInterval);
        const promise_checker::served_share share = checker.takeServedShare();
        if (share.due > options.callers && share.served >= share.due * recoveredShare)
            return;
    }
    checker.noteBreach("RECOVER", "callers are not served again after all faults were repaired");
}

void keepLogs(const soak_world& world, const std::string& folder)
{
    std::filesystem::create_directories(folder);
    for (const auto& site : world.nodes)
        std::ofstream(fmt::format("{}/node-{}.log", folder, site->number)) << site->node->log();
}

void print(const run_options& options, const promise_checker& checker, const std::map<std::string, int>& faults)
{
    nlohmann::ordered_json line { { "seed", options.seed }, { "nodes", options.world.nodes }, { "planned_only", options.isPlannedOnly }, { "timed", options.isTimed } };
    line["faults"] = faults;
    line["outcomes"] = checker.outcomes();
    line["breaches"] = nlohmann::json::array();
    for (const breach& item : checker.breaches())
        line["breaches"].push_back(item.rule + ": " + item.what);
    std::cout << line.dump() << std::endl;
}

int run(const run_options& options)
{
    promise_checker checker({ options.isTimed, options.isPlannedOnly });
    soak_world world(options.world, checker);
    std::atomic<bool> isOver { false };
    std::vector<std::thread> callers;
    for (int number = 1; number <= options.callers; ++number) {
        caller_settings settings { number, options.seed, doorsOf(world), [&isOver] { return isOver.load(); }, [&world] { return world.catalogVersion.load(); }, number % 4 == 0 };
        callers.emplace_back([settings, &checker] { runCaller(settings, checker); });
    }
    std::this_thread::sleep_for(quietAtFirst);
    awaitRecovery(checker, options);
    const auto faults = playPlan(world, { options.seed, std::chrono::seconds(options.seconds), options.isPlannedOnly });
    awaitRecovery(checker, options);
    isOver = true;
    for (std::thread& caller : callers)
        caller.join();
    checkProcesses(world);
    checker.finish(world.cloud.calls());
    print(options, checker, faults);
    const bool isClean = checker.breaches().empty();
    if (!isClean && !options.keepFolder.empty())
        keepLogs(world, fmt::format("{}/seed-{}", options.keepFolder, options.seed));
    return isClean ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    run_options options;
    CLI::App app { "Seeded faults against real nodes on the platform's stand-ins. Exit codes: 0 no breach, 1 a breach." };
    app.add_option("--seed", options.seed);
    app.add_option("--seconds", options.seconds, "Length of the plan");
    app.add_option("--nodes", options.world.nodes);
    app.add_option("--endpoints", options.world.endpoints);
    app.add_option("--callers", options.callers);
    app.add_option("--keep", options.keepFolder, "Folder for the logs of a run with a breach");
    app.add_flag("--timed", options.isTimed, "Also check bounds in time; the machine must have processor time to spare");
    app.add_flag("--planned-only", options.isPlannedOnly, "Only planned work: nothing that was taken may be lost");
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
