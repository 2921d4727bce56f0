#pragma once

/// @file
/// Formats each message and action of the dispatch and configuration duties as one line of text. The golden files hold
/// these lines, so a changed wording changes the files.

#include "Configuration/VersionChain.h"
#include "Dispatch/Dispatcher.h"

#include <string>

namespace Golden {

std::string describe(const Dispatch::dispatch_message& message);
std::string describe(const Dispatch::dispatch_action& action);
std::string describe(const Configuration::chain_message& message);
std::string describe(const Configuration::chain_action& action);
std::string describe(const Platform::table_put& put);

} // namespace Golden
