/// @file
/// Program behind scripts/measure.sh: simulates one profile with one seed and policy and prints one JSON line.

#include "Measure.h"

#include <iostream>

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    std::string profileName = "guild";
    std::string policyName = "cheapest";
    Measure::measure_options options;
    CLI::App app { "Simulates the routing decisions on a virtual clock" };
    app.add_option("--profile", profileName, "authority or guild")->check(CLI::IsMember({ "authority", "guild" }));
    app.add_option("--seed", options.seed);
    app.add_option("--seconds", options.seconds);
    app.add_option("--policy", policyName, "cheapest, no-admission, round-robin, least-reported, nearest")->check(CLI::IsMember({ "cheapest", "no-admission", "round-robin", "least-reported", "nearest" }));
    CLI11_PARSE(app, argc, argv);
    if (policyName == "round-robin")
        options.policy = Routing::policy::RoundRobin;
    if (policyName == "least-reported")
        options.policy = Routing::policy::LeastReported;
    if (policyName == "nearest")
        options.policy = Routing::policy::Nearest;
    options.hasAdmission = policyName != "no-admission";
    const Measure::measure_result result = runMeasure(Measure::findProfile(profileName), options);
    const auto share = [](uint64_t part, uint64_t whole) { return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole); };
    nlohmann::ordered_json line {
        { "profile", profileName },
        { "policy", policyName },
        { "seed", options.seed },
        { "requests", result.requests },
        { "answered", result.answered },
        { "refused", result.refused },
        { "failed", result.failed },
        { "in_target", share(result.inTarget, result.requests) },
        { "worst_account_in_target", result.worstAccountInTarget },
        { "cost_micro_per_1000_tokens", result.tokens == 0 ? 0.0 : 1000 * result.costMicro / static_cast<double>(result.tokens) },
        { "tokens", result.tokens },
        { "tokens_recomputed", result.tokensRecomputed },
        { "prompts_cached", share(result.promptsCached, result.promptsCached + result.promptsComputed) },
    };
    std::cout << line.dump() << std::endl;
    return 0;
}
