#pragma once

/// @file
/// Endpoint of the soak: simulates processing time, sends the answer that follows from the request's id, and can be
/// switched to a faulty behavior.

#include "Faults/PromiseChecker.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Faults {

enum class endpoint_behavior {
    Healthy,
    Full, ///< Refuses each request as not run, and wants none for a while.
    Failing, ///< Runs each request, and answers every second one with status 500.
    Truncating, ///< Closes the connection in the middle of every second answer.
    Unresponsive, ///< Runs requests and does not answer.
    Malformed, ///< Runs the request and then sends bytes that are not HTTP.
    WrongId, ///< Sends an answer for another request id before every second answer.
    ExtraAnswer, ///< Sends a second, unrequested answer after each plain one.
    Slow,
    Down, ///< Resets every connection.
};

constexpr int endpointBehaviorCount = 10;

/// What all answers to a request have in common.
struct answer_to {
    std::string id; ///< Of the request.
    std::string declaredLines; ///< Header lines about the endpoint itself.
};

class soak_endpoint {
public:
    /// @param name the endpoint's id in the store.
    /// @param checker records every arrival and run.
    soak_endpoint(std::string name, promise_checker& checker);
    ~soak_endpoint();
    soak_endpoint(const soak_endpoint&) = delete;
    soak_endpoint& operator=(const soak_endpoint&) = delete;

    uint16_t port() const { return m_port; }
    std::string name() const;
    /// Changes the id, as when a new process starts at the same address.
    void rename(const std::string& name);
    void setBehavior(endpoint_behavior behavior) { m_behavior = behavior; }
    /// Sets whether the endpoint says in all its answers that it is leaving.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }

private:
    using request_message = boost::beast::http::request<boost::beast::http::string_body>;
    using tcp = boost::asio::ip::tcp;

    struct connection {
        std::thread thread;
        std::atomic<bool> isDone { false };
    };

    void accept();
    void serve(tcp::socket socket);
    /// @return whether the connection can be used for further requests; also for run(), sendPlain() and sendStream().
    bool answer(tcp::socket& socket, const request_message& request);
    bool run(tcp::socket& socket, const request_message& request, const answer_to& answered);
    bool refuseAsFull(tcp::socket& socket, const answer_to& answered);
    bool sendPlain(tcp::socket& socket, const answer_to& answered, endpoint_behavior behavior);
    bool sendStream(tcp::socket& socket, const answer_to& answered, uint32_t after, endpoint_behavior behavior);
    answer_to describeAnswer(const std::string& id);
    bool waitWhileOpen(tcp::socket& socket, milliseconds time) const;
    observed_run describe(const request_message& request, const std::string& id) const;

    promise_checker& m_checker;
    mutable std::mutex m_mutex;
    std::string m_name;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    uint16_t m_port;
    std::atomic<endpoint_behavior> m_behavior { endpoint_behavior::Healthy };
    std::atomic<bool> m_isLeaving { false };
    std::atomic<uint32_t> m_runs { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::unique_ptr<connection>> m_connections;
    std::thread m_thread;
};

} // namespace Faults
