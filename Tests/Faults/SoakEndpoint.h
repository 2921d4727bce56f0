#pragma once

/// @file
/// An endpoint of the soak: runs each request for a while, answers what its id demands, and misbehaves when told to.

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

enum class endpoint_conduct {
    Sound,
    Full, ///< States of each request that it was not run.
    Failing, ///< Answers each other request with a failure of its own, after it ran.
    Cutting, ///< Breaks each other answer off in the middle.
    Mute, ///< Runs requests and never answers.
    Garbling, ///< Sends bytes that are no answer, after it ran.
    Forging, ///< Answers in the name of another request first.
    Talkative, ///< Sends more bytes after complete answers.
    Slow,
    Down, ///< Resets every connection.
};

constexpr int endpointConductCount = 10;

class soak_endpoint {
public:
    /// @param name its id in the store.
    /// @param checker told of every arrival and run.
    soak_endpoint(std::string name, promise_checker& checker);
    ~soak_endpoint();
    soak_endpoint(const soak_endpoint&) = delete;
    soak_endpoint& operator=(const soak_endpoint&) = delete;

    uint16_t port() const { return m_port; }
    std::string name() const;
    /// Takes another id, as a new process at the same address does.
    void rename(const std::string& name);
    void setConduct(endpoint_conduct conduct) { m_conduct = conduct; }

private:
    using request_message = boost::beast::http::request<boost::beast::http::string_body>;
    using tcp = boost::asio::ip::tcp;

    struct connection {
        std::thread thread;
        std::atomic<bool> isDone { false };
    };

    void accept();
    void serve(tcp::socket socket);
    /// @return whether the connection goes on.
    bool answer(tcp::socket& socket, const request_message& request);
    bool run(tcp::socket& socket, const request_message& request, const std::string& id);
    bool sendPlain(tcp::socket& socket, const std::string& id, endpoint_conduct conduct);
    bool sendStream(tcp::socket& socket, const std::string& id, uint32_t after, endpoint_conduct conduct);
    bool waitWhileOpen(tcp::socket& socket, milliseconds time) const;
    run_seen describe(const request_message& request, const std::string& id) const;

    promise_checker& m_checker;
    mutable std::mutex m_mutex;
    std::string m_name;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    uint16_t m_port;
    std::atomic<endpoint_conduct> m_conduct { endpoint_conduct::Sound };
    std::atomic<uint32_t> m_runs { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::unique_ptr<connection>> m_connections;
    std::thread m_thread;
};

} // namespace Faults
