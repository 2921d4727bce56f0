#pragma once

/// @file
/// Small stand-ins for the platform, the model engines and the plain services, each run as a process.
/// All but the relay accept faults at run time by POST /control with a JSON object; GET /control shows their state.

#include "Http/Server.h"

#include <string>

namespace StandIns {

struct stand_in_settings {
    Http::server_settings http;
    std::string name;
    uint32_t slots { 8 }; ///< Requests that an engine runs at once.
    int64_t prefillMilliseconds { 20 };
    int64_t tokenMilliseconds { 10 }; ///< Between two tokens of a stream.
    uint32_t defaultTokens { 64 }; ///< Length of an answer without max_tokens.
    uint16_t targetPort { 0 }; ///< Port that the relay connects to.
};

/// Serves the table service until the process ends.
void runTable(const stand_in_settings& settings);
/// Serves the cloud's API until the process ends.
void runCloud(const stand_in_settings& settings);
/// Serves a model engine until the process ends.
void runEngine(const stand_in_settings& settings);
/// Serves a plain service until the process ends.
void runService(const stand_in_settings& settings);
/// Relays connections to another port until the process ends.
void runRelay(const stand_in_settings& settings);

/// @param prompt the texts of all messages, joined.
/// @param position counts from zero.
/// @return the token that every engine generates at that position.
std::string tokenOf(const std::string& prompt, uint64_t position);

} // namespace StandIns
