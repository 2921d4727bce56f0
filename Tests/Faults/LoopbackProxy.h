#pragma once

/// @file
/// TCP proxy on loopback that impairs its connections: delays, resets, blocked traffic in one or both directions.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Faults {

enum class link_state {
    Unimpaired,
    Slow, ///< Bytes are delayed.
    ForwardBlocked, ///< Bytes from client to server are held back: requests don't arrive.
    BackwardBlocked, ///< Bytes from server to client are held back: requests are executed, but answers don't arrive.
    BothBlocked, ///< Bytes in both directions are held back.
};

class loopback_proxy {
public:
    /// @param target loopback port that connections are forwarded to.
    explicit loopback_proxy(uint16_t target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    uint16_t port() const { return m_port; }
    /// @return IP address and port of the proxy.
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void setState(link_state state) { m_state = state; }
    /// Resets all connections that are currently open.
    void resetAll() { ++m_resets; }

private:
    struct relay {
        std::thread thread;
        std::atomic<bool> isDone { false };
    };

    void accept();
    void serve(boost::asio::ip::tcp::socket client);
    void joinFinishedRelays();

    uint16_t m_target;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    uint16_t m_port;
    std::atomic<link_state> m_state { link_state::Unimpaired };
    std::atomic<uint32_t> m_resets { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::unique_ptr<relay>> m_relays;
    std::thread m_thread;
};

} // namespace Faults
