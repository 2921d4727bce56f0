#include "Faults/LoopbackProxy.h"

#include <algorithm>
#include <array>

#include <boost/asio/write.hpp>
#include <poll.h>

namespace Faults {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    constexpr int pollMilliseconds = 20;
    constexpr std::chrono::milliseconds slowLinkDelay { 60 };
    constexpr size_t bufferBytes = 16384;

    void reset(tcp::socket& socket)
    {
        error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    bool isForwardBlocked(link_state state)
    {
        return state == link_state::ForwardBlocked || state == link_state::BothBlocked;
    }

    bool isBackwardBlocked(link_state state)
    {
        return state == link_state::BackwardBlocked || state == link_state::BothBlocked;
    }

    enum class pump_result {
        Forwarded,
        Ended, ///< The sender closed its direction; the end was passed on.
        Reset,
    };

    /// Forwards the readable bytes, or the end, from one socket to the other.
    pump_result pump(tcp::socket& from, tcp::socket& to)
    {
        std::array<char, bufferBytes> buffer {};
        error_code error;
        const size_t size = from.read_some(boost::asio::buffer(buffer), error);
        if (error == boost::asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, error);
            return pump_result::Ended;
        }
        if (error)
            return pump_result::Reset;
        boost::asio::write(to, boost::asio::buffer(buffer.data(), size), error);
        return error ? pump_result::Reset : pump_result::Forwarded;
    }

    /// One direction of a relayed connection.
    struct direction {
        tcp::socket& from;
        tcp::socket& to;
        bool hasEnded { false };
    };

    enum class step_result {
        Idle,
        Moved,
        Reset,
    };

    step_result step(direction& side, short events)
    {
        if ((events & (POLLIN | POLLERR | POLLHUP)) == 0)
            return step_result::Idle;
        const pump_result end = pump(side.from, side.to);
        side.hasEnded = end == pump_result::Ended;
        return end == pump_result::Reset ? step_result::Reset : step_result::Moved;
    }

    /// Waits for bytes in the directions that the state doesn't block, and forwards them.
    step_result step(direction& forward, direction& backward, link_state state)
    {
        const bool isForwardOpen = !forward.hasEnded && !isForwardBlocked(state);
        const bool isBackwardOpen = !backward.hasEnded && !isBackwardBlocked(state);
        std::array<pollfd, 2> descriptors { pollfd { forward.from.native_handle(), POLLIN, 0 }, pollfd { backward.from.native_handle(), POLLIN, 0 } };
        // poll() ignores negative descriptors: in a blocked direction not even a reset may be detected.
        if (!isForwardOpen)
            descriptors[0].fd = -1;
        if (!isBackwardOpen)
            descriptors[1].fd = -1;
        if (poll(descriptors.data(), descriptors.size(), pollMilliseconds) <= 0)
            return step_result::Idle;
        if (state == link_state::Slow)
            std::this_thread::sleep_for(slowLinkDelay);
        const step_result first = step(forward, descriptors[0].revents);
        return first == step_result::Reset ? first : step(backward, descriptors[1].revents);
    }

} // namespace

loopback_proxy::loopback_proxy(uint16_t target)
    : m_target(target)
    , m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , m_port(m_acceptor.local_endpoint().port())
    , m_thread([this] { accept(); })
{
}

loopback_proxy::~loopback_proxy()
{
    m_isStopping = true;
    m_thread.join();
    for (const auto& item : m_relays)
        item->thread.join();
}

void loopback_proxy::accept()
{
    m_acceptor.non_blocking(true);
    while (!m_isStopping) {
        joinFinishedRelays();
        pollfd descriptor { m_acceptor.native_handle(), POLLIN, 0 };
        if (poll(&descriptor, 1, pollMilliseconds) <= 0)
            continue;
        error_code error;
        tcp::socket client(m_context);
        m_acceptor.accept(client, error);
        if (error)
            continue;
        client.non_blocking(false);
        auto item = std::make_unique<relay>();
        relay& started = *item;
        started.thread = std::thread([this, &started, client = std::move(client)]() mutable {
            serve(std::move(client));
            started.isDone = true;
        });
        m_relays.push_back(std::move(item));
    }
}

void loopback_proxy::joinFinishedRelays()
{
    std::erase_if(m_relays, [](const std::unique_ptr<relay>& item) {
        if (!item->isDone)
            return false;
        item->thread.join();
        return true;
    });
}

void loopback_proxy::serve(tcp::socket client)
{
    const uint32_t resets = m_resets;
    tcp::socket server(m_context);
    error_code error;
    server.connect({ boost::asio::ip::make_address("127.0.0.1"), m_target }, error);
    if (error)
        return reset(client);
    client.set_option(tcp::no_delay(true), error);
    server.set_option(tcp::no_delay(true), error);
    direction forward { client, server };
    direction backward { server, client };
    while (!m_isStopping && m_resets == resets && !(forward.hasEnded && backward.hasEnded)) {
        if (step(forward, backward, m_state) == step_result::Reset)
            break;
    }
    if (forward.hasEnded && backward.hasEnded)
        return;
    reset(client);
    reset(server);
}

} // namespace Faults
