#pragma once

/// @file
/// Compares the latencies of two versions. A latency is the time to the first event over the time expected for the
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

/// A way in which a version may be slower than the version before it.
struct slowdown {
    double share { 1 }; ///< Of the attempts that are slower, 0 to 1.
    double factor { 1 }; ///< How many times as long those take.
};

/// @param latency time to the first event over the expected time.
/// @return the bin that counts it.
size_t latencyBinOf(double latency);

latency_histogram operator+(const latency_histogram& left, const latency_histogram& right);
latency_counts operator+(const latency_counts& left, const latency_counts& right);

/// @param later counts of a time.
/// @param earlier counts of an earlier time.
/// @return the attempts that were answered or ended in between, and those that wait at the later time.
latency_counts since(const latency_counts& later, const latency_counts& earlier);

/// Tests whether a version is slower than tolerated. Attempts that may still turn out either way are left out.
/// @param candidate of the new version.
/// @param previous of the version before it.
/// @param significanceLevel probability of the result for a version that is slowed down no more than tolerated.
bool isSlower(const latency_counts& candidate, const latency_counts& previous, double significanceLevel);

/// Tests whether a version is free of a slowdown. Attempts that may still turn out either way count as slow.
/// @param candidate of the new version.
/// @param previous of the version before it.
/// @param excluded the slowdown.
/// @param significanceLevel probability of the result for a version that has the slowdown.
/// @return whether the latencies of the new version rule the slowdown out.
bool rulesOut(const latency_counts& candidate, const latency_counts& previous, const slowdown& excluded, double significanceLevel);

} // namespace Rollout
