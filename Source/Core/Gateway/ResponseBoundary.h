#pragma once

/// @file
/// Finds the head of a second response inside the body of a response. An endpoint that breaks a response off and then
/// sends it again on the same connection leaves the framing of the first one intact.

#include "Gateway/WireFormat.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// Reads a body as it arrives, with work proportional to its size.
struct boundary_scanner {
    std::string line; ///< The end of the line that is not complete yet.
    bool isInHead { false }; ///< A status line and header lines have been read, and no blank line since.
    size_t headBytes { 0 }; ///< Of that head.
    std::vector<Http::header> headers; ///< Of that head.
    bool hasHead { false }; ///< A complete head was read that states nothing of an endpoint: it may be text of the body.
    bool hasEndpointHead { false }; ///< A complete head of an endpoint was read.
};

/// @param scanner of the body; changed in place.
/// @param bytes that have arrived; they may end anywhere.
/// @param wire reads header lines.
void scanBody(boundary_scanner& scanner, std::string_view bytes, const wire_format& wire);

/// @return whether the body ends like the beginning of a response head. Evidence only where nothing else marks its end.
bool endsInsideHead(const boundary_scanner& scanner);

/// @return how long to wait for surplus bytes after the body, which may be the rest of a head; zero for most bodies.
std::chrono::milliseconds surplusWait(const boundary_scanner& scanner);

/// @param scanner of a body that has ended.
/// @param surplus bytes that the endpoint sent after the body.
/// @return whether the body runs into a second response.
bool runsIntoResponse(const boundary_scanner& scanner, std::string_view surplus);

} // namespace Gateway
