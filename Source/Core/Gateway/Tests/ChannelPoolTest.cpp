/// @file
/// Which idle connections to endpoints are used again.

#include "Gateway/ChannelPool.h"

#include <thread>

#include <CppUTest/TestHarness.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

namespace {

using boost::asio::ip::tcp;

/// An endpoint that answers each connection's request, and the gateway's pool of connections to it.
struct pooled_endpoint {
    boost::asio::io_context context;
    tcp::acceptor acceptor { context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    Gateway::channel_pool pool { context };
    std::string address { "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) };
    std::vector<std::shared_ptr<Gateway::endpoint_channel>> channels;
    std::vector<tcp::socket> sockets; ///< The endpoint's side of the channels.

    explicit pooled_endpoint(size_t connections)
    {
        for (size_t number = 0; number < connections; ++number)
            exchange();
        for (const auto& channel : channels)
            pool.release(address, channel, {});
    }

    void exchange()
    {
        bool hasEnded = false;
        Gateway::exchange_events events;
        events.onHead = [](const Gateway::response_head&) { return true; };
        events.onBytes = [](std::string_view) { return true; };
        events.onEnd = [&hasEnded](const Gateway::exchange_result&) { hasEnded = true; };
        channels.push_back(pool.acquire(address, true));
        channels.back()->exchange("GET / HTTP/1.1\r\n\r\n", std::chrono::seconds(1), std::move(events));
        sockets.push_back(acceptor.accept());
        context.restart();
        while (sockets.back().available() == 0 && context.run_one_for(std::chrono::seconds(2)) > 0) { }
        send(sockets.size() - 1, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        context.restart();
        while (!hasEnded && context.run_one_for(std::chrono::seconds(2)) > 0) { }
    }

    void send(size_t connection, const std::string& bytes)
    {
        boost::asio::write(sockets[connection], boost::asio::buffer(bytes));
    }

    /// @return exchanges that the connection for the next request has carried.
    uint64_t earlierExchanges(bool mayReuse)
    {
        return pool.acquire(address, mayReuse)->exchanges();
    }

    void waitUntilUnusable(size_t connection)
    {
        for (int tries = 0; tries < 100 && channels[connection]->isUsable(); ++tries)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
};

} // namespace

TEST_GROUP(ChannelPool) {};

TEST(ChannelPool, AnIdleConnectionIsReused)
{
    pooled_endpoint endpoint(1);
    CHECK(endpoint.pool.acquire(endpoint.address, true) == endpoint.channels[0]);
}

TEST(ChannelPool, ARequestThatMayNotShareAConnectionGetsANewOne)
{
    pooled_endpoint endpoint(1);
    CHECK(endpoint.earlierExchanges(false) == 0);
}

TEST(ChannelPool, AConnectionThatGotUnrequestedBytesWhileIdleIsNotReused)
{
    struct row {
        const char* condition;
        std::string stray; ///< Follows the complete response.
    };
    const row rows[] = {
        { "one byte", "x" },
        { "a second copy", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
    };
    for (const row& item : rows) {
        pooled_endpoint endpoint(1);
        // The bytes arrive, but the thread is busy and doesn't run the handler that would notice them.
        endpoint.send(0, item.stray);
        endpoint.waitUntilUnusable(0);
        CHECK_TEXT(endpoint.earlierExchanges(true) == 0, item.condition);
    }
}

TEST(ChannelPool, UnrequestedBytesEndTheReuseOfAllConnectionsToTheirEndpoint)
{
    pooled_endpoint endpoint(2);
    endpoint.send(1, "x");
    endpoint.waitUntilUnusable(1);
    CHECK(endpoint.earlierExchanges(true) == 0);
    const auto later = endpoint.channels[0];
    endpoint.pool.release(endpoint.address, later, {});
    CHECK(endpoint.earlierExchanges(true) == 0);
}
