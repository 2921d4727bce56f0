#pragma once

/// @file
/// The command `check`: reads a configuration as operators send it, prints what is wrong with it and what differs from the
/// one in force. It needs no node.

#include <iosfwd>
#include <string>

namespace Filbertreel {

struct check_settings {
    std::string path; ///< The configuration to check.
    std::string inForcePath; ///< The one in force; empty: nothing to compare with.
    bool isJson { false };
};

/// @param text a JSON text.
/// @param offset a position in it.
/// @return the number of the line at the position, from 1.
size_t lineAt(const std::string& text, size_t offset);

/// Prints the findings and the differences.
/// @return the program's exit code: exitOk without findings, exitRefused with some, exitBadUsage when a file can't be read.
int checkConfiguration(const check_settings& settings, std::ostream& output);

} // namespace Filbertreel
