#pragma once

/// @file
/// A stand-in for the cloud's interface for duties: scaling orders and usage reports with fencing tokens, and faults
/// that a test can switch on.

#include "Http/Server.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace PlatformTests {

enum class cloud_mode {
    Serve,
    Busy, ///< Answers 429 without applying the call.
    Down, ///< Answers 503 without applying the call.
    LoseAnswers, ///< Applies the call and never answers.
    Late, ///< Never answers, and applies the call after a delay.
};

/// One call to the cloud that a duty made.
struct duty_call {
    std::string duty; ///< "usage", or "scale" with the service and the zone.
    std::string holder; ///< The node that held the duty's lease.
    uint64_t fence { 0 };
    std::string body;
    std::chrono::steady_clock::time_point at; ///< When the call was applied.
    bool isAccepted { false }; ///< Whether its fencing token was at least the highest one seen for the duty.
};

class cloud_stand_in {
public:
    cloud_stand_in();
    ~cloud_stand_in();
    cloud_stand_in(const cloud_stand_in&) = delete;
    cloud_stand_in& operator=(const cloud_stand_in&) = delete;

    /// @return IP number and port.
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    uint16_t port() const { return m_port; }
    void setMode(cloud_mode mode) { m_mode = mode; }
    /// @return the calls that were applied or rejected for their fencing token, in that order.
    std::vector<duty_call> calls() const;

private:
    void answer(Http::incoming_request&& request);
    /// Checks the fencing token and records the call.
    /// @return the HTTP status.
    int applyCall(const Http::incoming_request& request);

    uint16_t m_port;
    mutable std::mutex m_mutex;
    std::vector<duty_call> m_calls;
    std::map<std::string, uint64_t> m_highestFence; ///< By duty.
    std::atomic<cloud_mode> m_mode { cloud_mode::Serve };
    Http::server m_server;
    std::thread m_thread;
};

} // namespace PlatformTests
