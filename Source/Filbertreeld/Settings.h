#pragma once

/// @file
/// Settings of the node daemon, by flag or environment variable.

#include "Common/Ids.h"
#include "Common/Log.h"
#include "Routing/Router.h"

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Filbertreeld {

struct node_settings {
    Common::node_id node;
    Common::zone_name zone;
    Common::region_name region;
    std::string httpListen;
    std::string httpAdvertise;
    std::string peerListen;
    std::string peerAdvertise;
    std::vector<std::string> peers;
    std::string tableUrl;
    std::string cloudUrl;
    std::string operatorKey;
    Common::log_level logLevel { Common::log_level::Info };
    Routing::policy policy { Routing::policy::CheapestInTarget };
    uint64_t maxBodyBytes { uint64_t { 1024 } * 1024 };
    uint32_t maxHeaders { 64 };
    uint32_t maxConnections { 4096 };
    uint32_t maxInFlight { 2000 };
    std::chrono::milliseconds readTimeout { 10000 };
    std::chrono::milliseconds writeTimeout { 30000 };
    std::chrono::milliseconds addressTimeToLive { 5000 };
    std::chrono::milliseconds notice { 30000 };
    std::chrono::milliseconds reconnectGrace { 2000 };
    std::chrono::milliseconds listInterval { 1000 };
    std::chrono::milliseconds loadInterval { 500 };
    std::chrono::milliseconds probeInterval { 1000 };
};

/// One rejected setting.
struct setting_mistake {
    std::string setting;
    std::string value;
    std::string allowed;
};

/// How the command line ends the program before it has begun.
struct early_exit {
    int code { 0 };
};

/// Reads flags and environment variables; prints help or every mistake.
/// @return the settings, or the exit code.
tl::expected<node_settings, early_exit> parseSettings(int argc, char** argv);

/// @return every mistake in the settings.
std::vector<setting_mistake> checkSettings(const node_settings& settings);

// Exit codes of the daemon.
constexpr int exitOk = 0;
constexpr int exitFailedToStart = 1;
constexpr int exitBadSettings = 2;

} // namespace Filbertreeld
