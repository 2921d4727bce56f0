#pragma once

/// @file
/// HTTP client of the operators' command line tool; it talks to any entry node.

#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace Filbertreel {

struct connection_settings {
    std::vector<std::string> nodes; ///< Base URLs of entry nodes, tried in order until one can be reached.
    std::string operatorKey;
};

enum class command_failure_kind {
    NoNodeReached,
    Refused, ///< A node answered with an error status.
    Unreadable, ///< The answer isn't JSON, or the transfer of a change failed after sending had begun.
};

struct command_failure {
    command_failure_kind kind { command_failure_kind::NoNodeReached };
    int status { 0 };
    nlohmann::json body;
};

template <typename value_type>
using command_result = tl::expected<value_type, command_failure>;

/// Sends a GET request to the nodes in order until one returns a complete answer. Blocks until then.
/// @param settings the nodes to try and the operators' key.
/// @param path path and query, appended to the node's URL.
/// @return the parsed body of the answer, or why there is none.
command_result<nlohmann::ordered_json> get(const connection_settings& settings, const std::string& path);

/// Sends a change to the first node that can be reached. Once a node may have received the request, no other node is
/// tried, because the change could then be applied twice. Blocks until the answer is there.
/// @param settings the nodes to try and the operators' key.
/// @param path path, appended to the node's URL.
/// @param body the change.
/// @return the parsed body of the answer, or why there is none.
command_result<nlohmann::ordered_json> post(const connection_settings& settings, const std::string& path, const nlohmann::json& body);

} // namespace Filbertreel
