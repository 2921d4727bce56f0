#pragma once

/// @file
/// How long a peer that vanished without closing its connections goes undetected. All timeouts of sockets that detect it are
/// derived from here.

#include <chrono>

namespace Common {

constexpr std::chrono::milliseconds detectionTime { 3000 };

/// An idle connection is probed after this time, and at this interval while probes stay unanswered.
constexpr std::chrono::seconds probeInterval { 1 };

/// Probes that stay unanswered on a connection that was idle for probeInterval.
constexpr int probeCount = static_cast<int>(detectionTime / probeInterval) - 1;

/// Time to wait for the answer to a heartbeat, which is sent after probeInterval at the latest.
constexpr std::chrono::milliseconds heartbeatTimeout = detectionTime - std::chrono::milliseconds(probeInterval) / 2;

} // namespace Common
