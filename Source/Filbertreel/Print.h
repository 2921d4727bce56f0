#pragma once

/// @file
/// Tables for people and JSON for scripts.

#include "Filbertreel/Client.h"

namespace Filbertreel {

/// Prints rows of objects as a table with aligned columns.
/// @param rows an array of flat objects.
/// @param columns the members to show, in order.
void printTable(const nlohmann::ordered_json& rows, const std::vector<std::string>& columns);

/// Prints a failure to standard error.
/// @return the program's exit code for it.
int printFailure(const command_failure& failure);

// Exit codes of the command.
constexpr int exitOk = 0;
constexpr int exitRefused = 1;
constexpr int exitBadUsage = 2;
constexpr int exitUnreachable = 3;
constexpr int exitOutcomeUnknown = 4;

} // namespace Filbertreel
