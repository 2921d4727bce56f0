#pragma once

/// @file
/// Tail probabilities of the binomial distribution.

#include <cstdint>

namespace Rollout {

/// @param events a number of events.
/// @param total number of trials.
/// @param rate probability of an event in each trial; above 0 and below 1.
/// @return the probability of at least that many events.
double upperTail(uint64_t events, uint64_t total, double rate);

/// @param events a number of events.
/// @param total number of trials.
/// @param rate probability of an event in each trial; above 0 and below 1.
/// @return the probability of at most that many events.
double lowerTail(uint64_t events, uint64_t total, double rate);

} // namespace Rollout
