#pragma once

/// @file
/// Keys of client accounts: made here, shown once, kept only as a digest.

#include <string>
#include <string_view>

namespace Configuration {

/// @return a new key of 32 random bytes in hexadecimal.
std::string generateKey();

/// @param key a key in clear.
/// @return its SHA-256 digest in hexadecimal; keys are random, so that no salt is needed.
std::string digestKey(std::string_view key);

} // namespace Configuration
