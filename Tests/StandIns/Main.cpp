/// @file
/// Runs one stand-in until its process is ended.

#include "StandIns/StandIns.h"

#include <csignal>
#include <iostream>

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    StandIns::stand_in_settings settings;
    settings.http.maxConnections = 20000;
    CLI::App app { "Stand-ins for tests" };
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--port", settings.http.port)->required();
    app.add_option("--name", settings.name);
    app.add_option("--slots", settings.slots);
    app.add_option("--prefill-ms", settings.prefillMilliseconds);
    app.add_option("--token-ms", settings.tokenMilliseconds);
    app.add_option("--tokens", settings.defaultTokens);
    app.add_option("--target-port", settings.targetPort);
    app.add_subcommand("table")->callback([&] { StandIns::runTable(settings); });
    app.add_subcommand("cloud")->callback([&] { StandIns::runCloud(settings); });
    app.add_subcommand("engine")->callback([&] { StandIns::runEngine(settings); });
    app.add_subcommand("service")->callback([&] { StandIns::runService(settings); });
    app.add_subcommand("relay")->callback([&] { StandIns::runRelay(settings); });
    CLI11_PARSE(app, argc, argv);
    return 0;
}
