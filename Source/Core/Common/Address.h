#pragma once

/// @file
/// Addresses of TCP listeners in the form "IP:PORT".

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Common {

struct listener_address {
    std::string ip; ///< An IPv4 or IPv6 number.
    uint16_t port { 0 }; ///< From 1.
};

/// @return the address; nothing when the text has another form or its port is out of range.
std::optional<listener_address> parseAddress(std::string_view text);

} // namespace Common
