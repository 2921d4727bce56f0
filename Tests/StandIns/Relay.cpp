/// @file
/// A TCP relay in front of one port. A test kills and restarts it to cut a node off from what its peers send.

#include "StandIns/StandIns.h"

#include <array>
#include <memory>

#include <asio.hpp>

namespace StandIns {

namespace {

    using asio::ip::tcp;

    /// Copies bytes in both directions until either side closes or fails.
    class relayed_connection : public std::enable_shared_from_this<relayed_connection> {
    public:
        relayed_connection(tcp::socket&& client, tcp::socket&& server)
            : m_client(std::move(client))
            , m_server(std::move(server))
        {
        }

        void begin()
        {
            copy(m_client, m_server, m_clientToServer);
            copy(m_server, m_client, m_serverToClient);
        }

    private:
        using byte_buffer = std::array<char, 16384>;

        void copy(tcp::socket& from, tcp::socket& to, byte_buffer& bytes)
        {
            auto self = shared_from_this();
            from.async_read_some(asio::buffer(bytes), [this, self, &from, &to, &bytes](const asio::error_code& error, size_t count) {
                if (error)
                    return end();
                asio::async_write(to, asio::buffer(bytes.data(), count), [this, self, &from, &to, &bytes](const asio::error_code& writeError, size_t) {
                    if (writeError)
                        return end();
                    copy(from, to, bytes);
                });
            });
        }

        void end()
        {
            asio::error_code ignored;
            m_client.close(ignored);
            m_server.close(ignored);
        }

        tcp::socket m_client;
        tcp::socket m_server;
        byte_buffer m_clientToServer {};
        byte_buffer m_serverToClient {};
    };

    void accept(tcp::acceptor& acceptor, const tcp::endpoint& target)
    {
        acceptor.async_accept([&acceptor, target](const asio::error_code& error, tcp::socket client) {
            if (error)
                return;
            tcp::socket server(acceptor.get_executor());
            asio::error_code connectError;
            server.connect(target, connectError);
            if (!connectError)
                std::make_shared<relayed_connection>(std::move(client), std::move(server))->begin();
            accept(acceptor, target);
        });
    }

} // namespace

void runRelay(const stand_in_settings& settings)
{
    asio::io_context context { 1 };
    const auto loopback = asio::ip::address_v4::loopback();
    tcp::acceptor acceptor(context, tcp::endpoint(loopback, settings.http.port));
    accept(acceptor, tcp::endpoint(loopback, settings.targetPort));
    context.run();
}

} // namespace StandIns
