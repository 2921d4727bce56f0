#pragma once

/// @file
/// Latencies of a version's attempts. A latency is the time to the first event over the time expected for the
/// request's work, so that requests of different sizes and classes can be pooled. Attempts without a first event are
/// censored observations: they are known to take longer than the time waited so far.

#include <array>
#include <cstddef>
#include <cstdint>

namespace Rollout {

constexpr size_t latencyBins = 24;

/// Number of attempts by latency. Bin limits grow by a factor of the square root of two.
using latency_histogram = std::array<uint64_t, latencyBins>;

/// Latencies of the attempts at one version.
struct latency_counts {
    latency_histogram answered {}; ///< By the time to the first event.
    latency_histogram unanswered {}; ///< Ended without a first event, by the time waited.
    latency_histogram waiting {}; ///< Without a first event so far, by the time waited.
};

/// @param latency time to the first event over the expected time.
/// @return the bin that counts it.
size_t latencyBinOf(double latency);

latency_histogram operator+(const latency_histogram& left, const latency_histogram& right);
latency_counts operator+(const latency_counts& left, const latency_counts& right);

} // namespace Rollout
