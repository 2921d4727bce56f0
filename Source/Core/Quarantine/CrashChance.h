#pragma once

/// @file
/// Whether the crashes under a fingerprint can be chance: a request that takes long, or comes often while endpoints go
/// down for other reasons, is at some of them when they do. Reads no clock and no socket.

#include "Quarantine/CrashEvidence.h"

#include <map>

namespace Quarantine {

/// A crash under a fingerprint.
struct crash_record {
    Common::instant at;
    milliseconds exposure { 0 }; ///< Longest time for which a request with the fingerprint was at the endpoint.
};

using crash_map = std::map<endpoint_start, crash_record>;

/// A crash of which this node knows, under whichever requests.
struct known_crash {
    Common::service_name service;
    Common::instant at;
    bool isExplained { false }; ///< A request with a quarantined fingerprint was there.
};

/// Crashes of the last crashMemory.
struct crash_history {
    std::map<endpoint_start, known_crash> crashes;
    std::map<Common::service_name, size_t> endpoints; ///< Number of listed endpoints of each service.
};

constexpr milliseconds crashMemory { 60000 };
/// The rate of crashes is taken over the time since the oldest known one, but over no shorter time than this.
constexpr milliseconds minRateTime { 5000 };
constexpr size_t maxKnownCrashes = 4096;

/// Adds a crash, or does nothing if it is known.
void addKnownCrash(crash_history& history, const endpoint_start& start, const known_crash& crash);

/// Forgets the crashes that are older than crashMemory.
void forgetOldCrashes(crash_history& history, Common::instant now);

/// @param history all crashes.
/// @param service of the requests.
/// @param crashes those under one fingerprint, at least one.
/// @param now current time.
/// @return the probability that so many endpoints go down, in the time for which the requests were at them, at the rate at
/// which endpoints of the service go down without them.
double chanceOf(const crash_history& history, const Common::service_name& service, const crash_map& crashes, Common::instant now);

/// @param count number of events.
/// @param expected mean of the Poisson distribution.
/// @return the probability of at least `count` events.
double poissonTail(size_t count, double expected);

} // namespace Quarantine
