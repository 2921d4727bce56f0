#pragma once

/// @file
/// Finds the head of a second response inside the body of a response. An endpoint that breaks a response off and then
/// sends it again on the same connection leaves the framing of the first one intact.

#include "Gateway/WireFormat.h"

#include <optional>
#include <string_view>

namespace Gateway {

/// @param body bytes of a response's body.
/// @param wire reads header lines.
/// @return where a complete response head begins that bears an endpoint's proof of origin; empty when there is none.
std::optional<size_t> findResponseHead(std::string_view body, const wire_format& wire);

} // namespace Gateway
