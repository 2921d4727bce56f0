/// @file
/// Which idle connections to endpoints are used again.

#include "Gateway/ChannelPool.h"

#include <thread>

#include <CppUTest/TestHarness.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

TEST_GROUP(ChannelPool) {};

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
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        Gateway::channel_pool pool(context);
        const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        const auto channel = pool.acquire(address, true);
        bool hasEnded = false;
        channel->exchange("GET / HTTP/1.1\r\n\r\n", std::chrono::seconds(1), { [](const Gateway::response_head&) { return true; }, [](std::string_view) { return true; }, [&hasEnded](const Gateway::exchange_result&) { hasEnded = true; } });
        boost::asio::ip::tcp::socket endpoint = acceptor.accept();
        boost::asio::write(endpoint, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        while (!hasEnded)
            context.run_one();
        pool.release(address, channel, {});
        // The bytes arrive, but the thread is busy and doesn't run the handler that would notice them.
        boost::asio::write(endpoint, boost::asio::buffer(item.stray));
        for (int tries = 0; tries < 100 && channel->isUsable(); ++tries)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        CHECK_TEXT(pool.acquire(address, true) != channel, item.condition);
        CHECK_TEXT(pool.acquire(address, true)->exchanges() == 0, item.condition);
    }
}
