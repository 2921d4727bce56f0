#pragma once

/// @file
/// One line of text for each message and action of the dispatch and configuration duties.

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
