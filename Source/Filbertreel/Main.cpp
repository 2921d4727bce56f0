/// @file
/// The operators' command: classes of work, client accounts, versions, status, audit trail and explanations.

#include "Configuration/Secret.h"
#include "Filbertreel/Client.h"
#include "Filbertreel/ExplainLog.h"
#include "Filbertreel/Print.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>

namespace {

using Filbertreel::command_result;
using Filbertreel::connection_settings;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::string_view changesPath = "/operator/v1/changes";
constexpr int64_t millisecondsPerSecond = 1000;

struct command_options {
    connection_settings connection;
    bool isJson { false };
    std::string actor { "operator" };
    std::string cause;
    uint64_t seenVersion { 0 };
    json body = json::object();
    std::string requestId;
    uint64_t afterVersion { 0 };
    int64_t deadlineSeconds { 0 };
};

int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Prints whole as JSON, or the rows under a member as a table.
int show(const command_options& options, const command_result<ordered_json>& answer, const std::string& member, const std::vector<std::string>& columns)
{
    if (!answer)
        return printFailure(answer.error());
    if (options.isJson) {
        std::cout << answer->dump() << "\n";
        return Filbertreel::exitOk;
    }
    Filbertreel::printTable(member.empty() ? ordered_json::array({ *answer }) : answer->at(member), columns);
    return Filbertreel::exitOk;
}

int propose(const command_options& options, const std::string& kind, bool isRemoval)
{
    json change { { "kind", kind }, { "remove", isRemoval }, { "actor", options.actor }, { "cause", options.cause } };
    change["body"] = options.body;
    if (options.seenVersion > 0)
        change["seen_version"] = options.seenVersion;
    return show(options, post(options.connection, std::string(changesPath), change), "", { "version", "kind", "actor", "made_at_ms", "cause" });
}

int showStatus(const command_options& options)
{
    const auto answer = get(options.connection, "/operator/v1/status");
    if (!answer || options.isJson)
        return show(options, answer, "", {});
    std::cout << "node " << answer->at("node") << " in zone " << answer->at("zone") << ", configuration version " << answer->at("configuration_version") << "\n\n";
    Filbertreel::printTable(answer->at("members"), { "node", "zone", "status", "http", "incarnation" });
    std::cout << "\n";
    Filbertreel::printTable(answer->at("endpoints"), { "endpoint", "service", "version", "zone", "price_per_hour_micro" });
    return Filbertreel::exitOk;
}

int createAccount(command_options& options)
{
    const std::string key = Configuration::generateKey();
    options.body["key_digest"] = Configuration::digestKey(key);
    const int code = propose(options, "account", false);
    if (code == Filbertreel::exitOk)
        std::cout << (options.isJson ? "{\"key\":\"" + key + "\"}" : "key (shown once): " + key) << "\n";
    return code;
}

template <typename value_type>
void addMember(CLI::App& app, const std::string& flag, json& body, const std::string& member, const std::string& help, bool isRequired = false)
{
    app.add_option_function<value_type>(
           flag, [&body, member](const value_type& value) { body[member] = value; }, help)
        ->required(isRequired);
}

void addChangeOptions(CLI::App& app, command_options& options)
{
    app.add_option("--actor", options.actor, "Who makes the change")->envname("FILBERTREEL_ACTOR");
    app.add_option("--cause", options.cause, "Why, for the audit trail");
    app.add_option("--seen-version", options.seenVersion, "Configuration version that this change was decided on");
}

void addClassCommands(CLI::App& app, command_options& options, int& code)
{
    CLI::App* group = app.add_subcommand("class", "Classes of work and their targets");
    group->require_subcommand(1);
    CLI::App* set = group->add_subcommand("set", "Create or change a class of work");
    addMember<std::string>(*set, "name", options.body, "name", "Name of the class", true);
    addMember<std::string>(*set, "--work", options.body, "work", "model or service");
    addMember<std::string>(*set, "--service", options.body, "service", "Model or service that serves the class", true);
    addMember<bool>(*set, "--idempotent", options.body, "idempotent", "Whether a call may run twice (true or false)");
    addMember<int64_t>(*set, "--first-token-ms", options.body, "first_token_ms", "Target for the first token");
    addMember<int64_t>(*set, "--between-tokens-ms", options.body, "between_tokens_ms", "Target between tokens");
    addMember<int64_t>(*set, "--answer-ms", options.body, "answer_ms", "Target for the whole answer");
    addMember<int64_t>(*set, "--max-cost-micro", options.body, "max_cost_micro", "Bound on the cost of a thousand tokens");
    addMember<int64_t>(*set, "--priority", options.body, "priority", "0 to 9");
    addChangeOptions(*set, options);
    set->callback([&options, &code] { code = propose(options, "class", false); });
    CLI::App* list = group->add_subcommand("list", "Show the classes of work");
    list->callback([&options, &code] {
        code = show(options, get(options.connection, "/operator/v1/configuration"), "classes", { "name", "work", "service", "idempotent", "first_token_ms", "between_tokens_ms", "answer_ms" });
    });
}

void addAccountCommands(CLI::App& app, command_options& options, int& code)
{
    CLI::App* group = app.add_subcommand("account", "Client accounts");
    group->require_subcommand(1);
    CLI::App* create = group->add_subcommand("create", "Create a client account, or give it a new key");
    addMember<std::string>(*create, "name", options.body, "name", "Name of the account", true);
    addMember<int64_t>(*create, "--share", options.body, "share", "Weight when capacity is short");
    addChangeOptions(*create, options);
    create->callback([&options, &code] { code = createAccount(options); });
    CLI::App* list = group->add_subcommand("list", "Show the client accounts");
    list->callback([&options, &code] { code = show(options, get(options.connection, "/operator/v1/configuration"), "accounts", { "name", "share" }); });
}

void addVersionCommands(CLI::App& app, command_options& options, int& code)
{
    CLI::App* group = app.add_subcommand("version", "Versions of endpoints");
    group->require_subcommand(1);
    CLI::App* create = group->add_subcommand("create", "Create a version of a service's endpoints");
    addMember<std::string>(*create, "service", options.body, "service", "Model or service", true);
    addMember<std::string>(*create, "name", options.body, "name", "Name of the version", true);
    addMember<std::string>(*create, "--state", options.body, "state", "current, taking_over or taken_back");
    create->add_option("--deadline-s", options.deadlineSeconds, "Seconds until it must have taken over");
    addChangeOptions(*create, options);
    create->callback([&options, &code] {
        options.body["started_at_ms"] = wallMilliseconds();
        if (options.deadlineSeconds > 0)
            options.body["deadline_ms"] = wallMilliseconds() + options.deadlineSeconds * millisecondsPerSecond;
        code = propose(options, "version", false);
    });
    CLI::App* list = group->add_subcommand("list", "Show the versions");
    list->callback([&options, &code] {
        code = show(options, get(options.connection, "/operator/v1/configuration"), "versions", { "service", "name", "state", "deadline_ms", "cause" });
    });
}

/// Prints a line whenever the state changes or some seconds have passed, until the rollout has ended.
int watchRollout(const command_options& options, const std::string& service, const std::string& version)
{
    constexpr std::chrono::seconds pollInterval { 1 };
    constexpr int linesEvery = 10;
    for (int polls = 0;; ++polls) {
        const auto answer = get(options.connection, "/operator/v1/configuration");
        if (!answer)
            return printFailure(answer.error());
        const auto& versions = answer->at("versions");
        const auto found = std::find_if(versions.begin(), versions.end(), [&](const ordered_json& item) {
            return item.at("service") == service && item.at("name") == version;
        });
        if (found == versions.end()) {
            std::cerr << "filbertreel: no version " << version << " of " << service << "\n";
            return Filbertreel::exitRefused;
        }
        const bool hasEnded = found->at("state") != "taking_over";
        if (hasEnded && options.isJson)
            std::cout << found->dump() << "\n";
        if (hasEnded && !options.isJson)
            std::cout << service << " " << version << ": " << found->at("state").get<std::string>() << ", " << found->at("cause").get<std::string>() << "\n";
        if (hasEnded)
            return found->at("state") == "current" ? Filbertreel::exitOk : Filbertreel::exitRefused;
        const int64_t left = (found->at("deadline_ms").get<int64_t>() - wallMilliseconds()) / millisecondsPerSecond;
        if (polls % linesEvery == 0)
            std::cerr << service << " " << version << ": taking over, " << left << " s to the deadline\n";
        std::this_thread::sleep_for(pollInterval);
    }
}

int startRollout(command_options& options, const std::string& state)
{
    options.body["state"] = state;
    options.body["started_at_ms"] = wallMilliseconds();
    options.body["deadline_ms"] = wallMilliseconds() + options.deadlineSeconds * millisecondsPerSecond;
    return propose(options, "version", false);
}

void addRolloutCommands(CLI::App& app, command_options& options, int& code)
{
    CLI::App* group = app.add_subcommand("rollout", "Start, watch and take back a new version");
    group->require_subcommand(1);
    const auto add = [&](const std::string& name, const std::string& help) {
        CLI::App* verb = group->add_subcommand(name, help);
        addMember<std::string>(*verb, "service", options.body, "service", "Model or service", true);
        addMember<std::string>(*verb, "version", options.body, "name", "Name of the version", true);
        addChangeOptions(*verb, options);
        return verb;
    };
    CLI::App* start = add("start", "Let a version take over by its deadline, or be taken back");
    start->add_option("--deadline-s", options.deadlineSeconds, "Seconds until it must have taken over")->required();
    start->callback([&options, &code] { code = startRollout(options, "taking_over"); });
    CLI::App* watch = add("watch", "Wait for the end; exit code 0 when it took over, 1 when it was taken back");
    watch->callback([&options, &code] { code = watchRollout(options, options.body["service"], options.body["name"]); });
    CLI::App* takeBack = add("take-back", "Withdraw a version at once");
    takeBack->callback([&options, &code] { code = startRollout(options, "taken_back"); });
}

void addQueries(CLI::App& app, command_options& options, int& code)
{
    CLI::App* status = app.add_subcommand("status", "What a node knows of itself, its peers and the endpoints");
    status->callback([&options, &code] { code = showStatus(options); });
    CLI::App* audit = app.add_subcommand("audit", "The audit trail of changes");
    audit->add_option("--after", options.afterVersion, "Only changes after this version");
    audit->callback([&options, &code] {
        code = show(options, get(options.connection, "/operator/v1/audit?after=" + std::to_string(options.afterVersion)), "records", { "version", "made_at_ms", "actor", "kind", "cause", "body" });
    });
    CLI::App* explain = app.add_subcommand("explain", "What happened to a request and why");
    explain->require_subcommand(1);
    CLI::App* request = explain->add_subcommand("request", "One request, asked at the node that served it");
    request->add_option("id", options.requestId, "The request's id")->required();
    request->callback([&options, &code] {
        code = show(options, get(options.connection, "/operator/v1/explain?request=" + options.requestId), "events", { "at_ms", "event", "endpoint", "zone", "predicted_first_token_s", "predicted_cost_micro", "cause", "seconds", "tokens" });
    });
}

/// Explains a request from the nodes' logs; unlike all other commands it needs no node.
int runExplainLog(int argc, char** argv)
{
    std::string request;
    std::vector<std::string> paths { "-" };
    CLI::App app { "What the logs of the nodes say of one request, and of what its node believed then" };
    app.add_option("--request", request, "The request's id")->required();
    app.add_option("files", paths, "Logs of the nodes; - is the standard input");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? Filbertreel::exitOk : Filbertreel::exitBadUsage;
    }
    return Filbertreel::explainLog(request, paths, std::cout);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "explain-log")
        return runExplainLog(argc - 1, argv + 1);
    command_options options;
    int code = Filbertreel::exitOk;
    CLI::App app { "filbertreel: the operators' command. Exit codes: 0 done, 1 refused, 2 bad usage, 3 no node reached, 4 outcome unknown." };
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--url", options.connection.nodes, "URL of an entry node; may be repeated")->envname("FILBERTREEL_URL")->delimiter(',')->required();
    app.add_option("--operator-key", options.connection.operatorKey, "The operators' key")->envname("FILBERTREEL_OPERATOR_KEY");
    app.add_flag("--json", options.isJson, "JSON for scripts");
    addClassCommands(app, options, code);
    addAccountCommands(app, options, code);
    addVersionCommands(app, options, code);
    addRolloutCommands(app, options, code);
    addQueries(app, options, code);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? Filbertreel::exitOk : Filbertreel::exitBadUsage;
    }
    return code;
}
