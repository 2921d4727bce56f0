#pragma once

/// @file
/// The operators' command as a client of any entry node.

#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace Filbertreel {

struct connection_settings {
    std::vector<std::string> nodes; ///< URLs of entry nodes; the first that answers is used.
    std::string operatorKey;
};

enum class command_failure_kind {
    NoNodeAnswers,
    Refused, ///< A node answered with an error.
    Unreadable,
};

struct command_failure {
    command_failure_kind kind { command_failure_kind::NoNodeAnswers };
    int status { 0 };
    nlohmann::json body;
};

template <typename value_type>
using command_result = tl::expected<value_type, command_failure>;

/// Reads from the first node that answers.
/// @param settings which nodes and with what key.
/// @param path below the node's address.
/// @return the body.
command_result<nlohmann::ordered_json> get(const connection_settings& settings, const std::string& path);

/// Sends a change to the first node that can be reached. A node that took the bytes is never replaced by another.
/// @param settings which nodes and with what key.
/// @param path below the node's address.
/// @param body the change.
/// @return the node's answer.
command_result<nlohmann::ordered_json> post(const connection_settings& settings, const std::string& path, const nlohmann::json& body);

} // namespace Filbertreel
