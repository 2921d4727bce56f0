#pragma once

/// @file
/// Counters, gauges and quantile estimates of this process, in the Prometheus text format. Safe to call from any thread.

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// Adds to a counter.
/// @param name Prometheus metric name, labels included.
/// @param amount the increment.
void countMetric(std::string_view name, uint64_t amount = 1);

/// Sets a gauge.
/// @param name Prometheus metric name, labels included.
/// @param value its current value.
void setMetric(std::string_view name, double value);

/// Adds a sample to the quantile estimates of a metric (P-square algorithm).
/// @param name Prometheus metric name without labels.
/// @param seconds the sample in seconds.
void observeMetric(std::string_view name, double seconds);

/// Updates the metrics of this process: processor time in seconds and resident memory in bytes.
void recordProcessMetrics();

/// @return all metrics in the Prometheus text format: counters and gauges by name, then quantiles by name.
std::string printMetrics();

} // namespace Common
