#include "Common/Address.h"

#include "Common/Text.h"

#include <limits>

#include <arpa/inet.h>

namespace Common {

namespace {

    bool isIpNumber(const std::string& text)
    {
        in6_addr parsed {};
        return inet_pton(AF_INET, text.c_str(), &parsed) == 1 || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
    }

} // namespace

std::optional<listener_address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos)
        return {};
    std::string ip(text.substr(0, colon));
    const auto port = parseUnsigned(text.substr(colon + 1));
    if (!port || *port == 0 || *port > std::numeric_limits<uint16_t>::max() || !isIpNumber(ip))
        return {};
    return listener_address { std::move(ip), static_cast<uint16_t>(*port) };
}

} // namespace Common
