#pragma once

/// @file
/// Counters and quantiles of one process, printed in the Prometheus text format.

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// Adds to a counter.
/// @param name Prometheus metric name, labels included.
/// @param amount what to add.
void countMetric(std::string_view name, uint64_t amount = 1);

/// Sets a gauge.
/// @param name Prometheus metric name, labels included.
/// @param value its present value.
void setMetric(std::string_view name, double value);

/// Adds a sample to a quantile estimate (P-square).
/// @param name Prometheus metric name without labels.
/// @param seconds the sample in seconds.
void observeMetric(std::string_view name, double seconds);

/// Sets the gauges of this process: processor time in seconds and resident memory in bytes.
void recordProcessMetrics();

/// @return all metrics as a Prometheus text page, sorted by name.
std::string printMetrics();

} // namespace Common
