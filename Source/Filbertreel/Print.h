#pragma once

/// @file
/// Output of the command line tool: tables, error messages and exit codes.

#include "Filbertreel/Client.h"

namespace Filbertreel {

/// Prints rows of objects as a table with aligned columns.
/// @param rows an array of flat objects.
/// @param columns the members to print, in order; a missing or null member is printed as "-".
void printTable(const nlohmann::ordered_json& rows, const std::vector<std::string>& columns);

/// Prints a failure to standard error.
/// @return the program's exit code for it.
int printFailure(const command_failure& failure);

// Exit codes of the command.
constexpr int exitOk = 0;
constexpr int exitRefused = 1; ///< A node refused the request, a rollout was taken back, or nothing was found.
constexpr int exitBadUsage = 2;
constexpr int exitUnreachable = 3; ///< No node could be reached.
constexpr int exitOutcomeUnknown = 4; ///< Whether a change was accepted isn't known.

} // namespace Filbertreel
