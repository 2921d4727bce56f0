#pragma once

/// @file
/// A small stand-in of the cloud's interface for duties: orders and usage reports with fencing tokens, and its faults.

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
    Busy, ///< Answers 429: nothing is done.
    Down, ///< Answers 503: nothing is done.
    LoseAnswers, ///< Does what is asked and never answers.
    Late, ///< Never answers, and does what was asked seconds later.
};

/// One call that reached the cloud's duties, in the order in which they took it.
struct duty_call {
    std::string duty; ///< "usage", or "scale" with the service and the zone.
    std::string holder;
    uint64_t fence { 0 };
    std::string body;
    std::chrono::steady_clock::time_point at;
    bool isAccepted { false }; ///< Not turned away by its fencing token.
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
    std::vector<duty_call> calls() const;

private:
    void answer(Http::incoming_request&& request);
    int carryOut(const Http::incoming_request& request);

    uint16_t m_port;
    mutable std::mutex m_mutex;
    std::vector<duty_call> m_calls;
    std::map<std::string, uint64_t> m_highestFence;
    std::atomic<cloud_mode> m_mode { cloud_mode::Serve };
    Http::server m_server;
    std::thread m_thread;
};

} // namespace PlatformTests
