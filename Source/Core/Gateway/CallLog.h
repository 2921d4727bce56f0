#pragma once

/// @file
/// Log lines of the gateway's decisions on a request, and the bytes of a request to an endpoint.

#include "Gateway/Call.h"

#include <string_view>

namespace Gateway {

/// Logs that a request goes to another endpoint after an attempt.
void logAttempt(const call& item, attempt_end outcome);

/// Logs the end of a request with the inputs that decided it.
void logEnd(const call& item, std::string_view outcome, int status, Common::instant now);

/// @param item a request.
/// @param lines header lines of the attempt.
/// @return head and body.
std::string writeRequest(const call& item, const std::vector<Http::header>& lines);

} // namespace Gateway
