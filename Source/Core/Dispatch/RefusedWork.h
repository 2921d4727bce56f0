#pragma once

/// @file
/// Model requests under which engines broke off: the same request is refused for a while when it comes again. Reads no clock.

#include "Dispatch/Request.h"

#include <map>

namespace Dispatch {

/// A refused request is tried again after this time.
constexpr std::chrono::milliseconds refusalTime { 60000 };
constexpr size_t maxRefusedWork = 2048;

/// Until when requests are refused, by their fingerprints.
using refused_work = std::map<uint64_t, Common::instant>;

/// @return a number that is the same for requests of one account with the same class of work and body.
uint64_t fingerprintOf(const request_entry& request);

/// Refuses requests with a fingerprint from now on; the one that ends first is dropped if there are too many.
void refuseWork(refused_work& refused, uint64_t fingerprint, Common::instant now);

/// @return whether requests with the fingerprint are refused.
bool isWorkRefused(const refused_work& refused, uint64_t fingerprint, Common::instant now);

} // namespace Dispatch
