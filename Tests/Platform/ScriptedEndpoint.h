#pragma once

/// @file
/// An endpoint that answers each request as a script says, byte for byte, and a caller that speaks raw bytes.

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace PlatformTests {

/// What follows the bytes of an answer.
enum class answer_end {
    Keep, ///< The connection stays open.
    Close, ///< A clean end.
    Reset, ///< The connection is reset.
    Wait, ///< Nothing more until the other side closes.
};

/// One answer. "@ID@" in the bytes stands for the attempt id of the request.
struct scripted_answer {
    std::string bytes;
    answer_end end { answer_end::Keep };
};

class scripted_endpoint {
public:
    /// @param answers one for each request, in order; the last one goes on.
    explicit scripted_endpoint(std::vector<scripted_answer> answers);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    /// @return IP number and port.
    std::string address() const;
    /// @return the requests that arrived, byte for byte.
    std::vector<std::string> requests() const;
    /// @return connections that the other side closed while an answer was awaited.
    int abandoned() const;

private:
    void serve();
    void serveConnection(boost::asio::ip::tcp::socket socket);
    scripted_answer nextAnswer(const std::string& request);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<scripted_answer> m_answers;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<std::thread> m_connections;
    std::atomic<int> m_abandoned { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// A caller's connection.
class raw_caller {
public:
    explicit raw_caller(uint16_t port);

    void send(const std::string& bytes);
    /// Reads until the connection ends, an answer is complete, or two seconds pass.
    /// @return all bytes read.
    std::string receive();
    void close();

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

/// @return a port that nobody listens on, outside the range that outgoing connections draw from; until this process ends no
/// other test gets it, also while nothing listens there.
uint16_t findFreePort();

/// @return whether bytes hold a complete answer with a length, or one in chunks with its last chunk.
bool isWhole(const std::string& answer);

} // namespace PlatformTests
