#pragma once

/// @file
/// An endpoint whose answers take time, and callers that send requests of one shape without pause until they are stopped.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace PlatformTests {

/// Answers each request after its work, or with a stream whose events are spread over it.
class timed_endpoint {
public:
    /// @param work time of an answer.
    /// @param slots requests that it works on at the same time; further ones wait.
    explicit timed_endpoint(std::chrono::milliseconds work, size_t slots = 1000);
    ~timed_endpoint();
    timed_endpoint(const timed_endpoint&) = delete;
    timed_endpoint& operator=(const timed_endpoint&) = delete;

    /// Changes the time of the answers that begin from now on.
    void setWork(std::chrono::milliseconds work);
    std::string address() const;
    /// @return the attempt ids of the requests that arrived.
    std::set<std::string> arrivals() const;

private:
    void serve();
    void serveConnection(int socket);
    void answer(int socket, const std::string& request);

    std::atomic<std::chrono::milliseconds> m_work;
    size_t m_slots;
    std::atomic<size_t> m_busy { 0 };
    int m_listener;
    mutable std::mutex m_mutex;
    std::set<std::string> m_arrivals;
    std::vector<std::thread> m_connections;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// The requests of a test row.
struct request_shape {
    std::string target { "/idem/x" };
    bool keepsConnection { false }; ///< Uses a connection until an answer closes it.
    int pipelined { 1 }; ///< Requests that are sent together.
    std::chrono::milliseconds bodyPause { 0 }; ///< Between the halves of a body.
    std::chrono::milliseconds pause { 10 }; ///< Before the next request.
    std::string moreLines {}; ///< Further header lines.
};

struct sent_request {
    std::string id;
    int status { 0 };
    bool isAnswered { false }; ///< All bytes of an answer have arrived.
    std::chrono::steady_clock::time_point sent; ///< When its last byte was sent.
    std::chrono::steady_clock::time_point ended;
};

/// Callers in threads of their own; their connections are not inherited by child processes.
class timed_callers {
public:
    /// @param ports the nodes, used in turn.
    timed_callers(std::vector<uint16_t> ports, size_t callers, const request_shape& shape);
    ~timed_callers();

    /// Ends the callers after their current request.
    /// @return the requests that were sent whole.
    std::vector<sent_request> finish();

private:
    void call(size_t caller);

    std::vector<uint16_t> m_ports;
    request_shape m_shape;
    std::mutex m_mutex;
    std::vector<sent_request> m_requests;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace PlatformTests
