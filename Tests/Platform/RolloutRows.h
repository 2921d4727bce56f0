#pragma once

/// @file
/// Rows of the store and responses of endpoints for tests of rollouts of one service.

#include "Platform/ScriptedEndpoint.h"
#include "Platform/StoreStandIn.h"

#include <string>

namespace PlatformTests {

/// Key of the order and of its status.
constexpr const char* rolloutKey = "rollout/s";

inline nlohmann::json makeRolloutManifest()
{
    return { { "version", 3 },
        { "routes", { { { "name", "r" }, { "hostname", "h.example" }, { "prefix", "/p/" }, { "routeType", "unsafe" }, { "timeoutMs", 2000 }, { "service", "s" }, { "maxAttempts", 1 } } } },
        { "services", { { { "name", "s" } } } },
        { "tenants", { { { "name", "clerks" }, { "apiKeys", { "k1" } } } } } };
}

/// @param status code and text of the status line.
inline scripted_answer makeSealedAnswer(const std::string& status)
{
    return { "HTTP/1.1 " + status + "\r\nX-Filbertreel-Attempt-Id: @ID@\r\nX-Filbertreel-Server-Seal: s.1\r\nContent-Length: 5\r\n\r\nhello" };
}

/// Orders the service to a version within the given number of seconds.
inline void putRolloutOrder(store_stand_in& store, const std::string& version, int seconds)
{
    store.put("op", rolloutKey, { { "service", "s" }, { "to", version }, { "finishByS", seconds } });
}

/// Lists the endpoint of a version.
/// @param state `ready` or `draining`.
inline void listEndpoint(store_stand_in& store, const std::string& version, const std::string& address, const char* state = "ready")
{
    store.put("servers", "i-" + version, { { "service", "s" }, { "address", address }, { "zone", "z" }, { "version", version }, { "slots", 6 }, { "state", state }, { "born", 1 } });
}

} // namespace PlatformTests
