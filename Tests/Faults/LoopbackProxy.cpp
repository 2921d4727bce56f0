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

    bool holdsForward(link_state state)
    {
        return state == link_state::NothingForward || state == link_state::Silent;
    }

    bool holdsBackward(link_state state)
    {
        return state == link_state::NothingBackward || state == link_state::Silent;
    }

    enum class pump_end {
        Goes,
        Ended, ///< A clean end, passed on.
        Reset,
    };

    /// Moves what is readable from one socket to the other.
    pump_end pump(tcp::socket& from, tcp::socket& to)
    {
        std::array<char, bufferBytes> buffer {};
        error_code error;
        const size_t size = from.read_some(boost::asio::buffer(buffer), error);
        if (error == boost::asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, error);
            return pump_end::Ended;
        }
        if (error)
            return pump_end::Reset;
        boost::asio::write(to, boost::asio::buffer(buffer.data(), size), error);
        return error ? pump_end::Reset : pump_end::Goes;
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

    step_result step(direction& side, short seen)
    {
        if ((seen & (POLLIN | POLLERR | POLLHUP)) == 0)
            return step_result::Idle;
        const pump_end end = pump(side.from, side.to);
        side.hasEnded = end == pump_end::Ended;
        return end == pump_end::Reset ? step_result::Reset : step_result::Moved;
    }

    /// Waits for bytes in the directions that the state lets through and moves them.
    step_result step(direction& forward, direction& backward, link_state state)
    {
        const bool isForwardOpen = !forward.hasEnded && !holdsForward(state);
        const bool isBackwardOpen = !backward.hasEnded && !holdsBackward(state);
        std::array<pollfd, 2> waiting { pollfd { forward.from.native_handle(), POLLIN, 0 }, pollfd { backward.from.native_handle(), POLLIN, 0 } };
        // A negative descriptor is left out: a held direction must not even show a reset.
        if (!isForwardOpen)
            waiting[0].fd = -1;
        if (!isBackwardOpen)
            waiting[1].fd = -1;
        if (poll(waiting.data(), waiting.size(), pollMilliseconds) <= 0)
            return step_result::Idle;
        if (state == link_state::Slow)
            std::this_thread::sleep_for(slowLinkDelay);
        const step_result first = step(forward, waiting[0].revents);
        return first == step_result::Reset ? first : step(backward, waiting[1].revents);
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
        reapDone();
        pollfd waiting { m_acceptor.native_handle(), POLLIN, 0 };
        if (poll(&waiting, 1, pollMilliseconds) <= 0)
            continue;
        error_code error;
        tcp::socket near(m_context);
        m_acceptor.accept(near, error);
        if (error)
            continue;
        near.non_blocking(false);
        auto item = std::make_unique<relay>();
        relay& started = *item;
        started.thread = std::thread([this, &started, near = std::move(near)]() mutable {
            serve(std::move(near));
            started.isDone = true;
        });
        m_relays.push_back(std::move(item));
    }
}

void loopback_proxy::reapDone()
{
    std::erase_if(m_relays, [](const std::unique_ptr<relay>& item) {
        if (!item->isDone)
            return false;
        item->thread.join();
        return true;
    });
}

void loopback_proxy::serve(tcp::socket near)
{
    const uint32_t resets = m_resets;
    tcp::socket far(m_context);
    error_code error;
    far.connect({ boost::asio::ip::make_address("127.0.0.1"), m_target }, error);
    if (error)
        return reset(near);
    near.set_option(tcp::no_delay(true), error);
    far.set_option(tcp::no_delay(true), error);
    direction forward { near, far };
    direction backward { far, near };
    while (!m_isStopping && m_resets == resets && !(forward.hasEnded && backward.hasEnded)) {
        if (step(forward, backward, m_state) == step_result::Reset)
            break;
    }
    if (forward.hasEnded && backward.hasEnded)
        return;
    reset(near);
    reset(far);
}

} // namespace Faults
