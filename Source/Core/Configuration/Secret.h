#pragma once

/// @file
/// Generates the keys of client accounts. A key is shown to the operator once; only its digest is stored.

#include <string>
#include <string_view>

namespace Configuration {

/// @return a new key: 32 random bytes in hexadecimal.
std::string generateKey();

/// @param key a key in plain text.
/// @return its SHA-256 digest in hexadecimal. Keys are random, so no salt is needed.
std::string digestKey(std::string_view key);

} // namespace Configuration
