#pragma once

/// @file
/// Settings of the node daemon, from flags and environment variables.

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
    std::string httpListen; ///< IP number and port.
    std::string httpAdvertise; ///< IP number and port given to callers.
    std::string peerListen; ///< IP number and port.
    std::string peerAdvertise; ///< IP number and port given to peers.
    std::vector<std::string> peers; ///< Peer addresses of other entry nodes.
    std::string tableUrl;
    std::string cloudUrl;
    std::string operatorKey; ///< A secret.
    Common::log_level logLevel { Common::log_level::Info };
    Routing::policy policy { Routing::policy::CheapestInTarget };
    uint64_t maxBodyBytes { uint64_t { 1024 } * 1024 };
    uint32_t maxHeaders { 64 };
    uint32_t maxConnections { 4096 };
    uint32_t maxInFlight { 2000 };
    std::chrono::milliseconds readTimeout { 10000 };
    std::chrono::milliseconds writeTimeout { 30000 };
    std::chrono::milliseconds addressTimeToLive { 5000 }; ///< How long callers may cache the address response.
    std::chrono::milliseconds notice { 30000 }; ///< From a stop signal to the termination of the instance.
    std::chrono::milliseconds reconnectGrace { 2000 }; ///< How long work continues for a disconnected caller.
    std::chrono::milliseconds listInterval { 1000 };
    std::chrono::milliseconds loadInterval { 500 };
    std::chrono::milliseconds probeInterval { 1000 };
};

/// A setting whose value is missing or not allowed.
struct invalid_setting {
    std::string setting; ///< Name of the flag.
    std::string value; ///< The rejected value, or "missing".
    std::string allowed; ///< Description of the allowed values.
};

/// Exit code of a program that ends after parsing the command line: help was requested, or settings are invalid.
struct early_exit {
    int code { 0 };
};

/// Reads flags and environment variables. Prints the help text when it is requested, and every invalid setting.
/// @return the settings, or the exit code when the program must end.
tl::expected<node_settings, early_exit> parseSettings(int argc, char** argv);

/// @return all settings that are missing or invalid; empty when there are none.
std::vector<invalid_setting> checkSettings(const node_settings& settings);

// Exit codes of the daemon.
constexpr int exitOk = 0;
constexpr int exitFailedToStart = 1;
constexpr int exitBadSettings = 2;

} // namespace Filbertreeld
