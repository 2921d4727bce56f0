#pragma once

/// @file
/// An endpoint that answers requests with scripted bytes, and a caller that sends raw bytes.

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace PlatformTests {

/// What the endpoint does after it has sent an answer.
enum class answer_end {
    Keep, ///< Keeps the connection open for the next request.
    Close, ///< Closes the connection.
    Reset, ///< Resets the connection.
    Wait, ///< Sends nothing more and expects the other side to close.
    Early, ///< As Wait; of an endpoint's first answer, repeated is also sent as soon as a connection is accepted.
    Late, ///< Keeps the connection open and sends scripted_answer::repeated once, somewhat later.
    Endless, ///< Sends scripted_answer::repeated until the other side closes.
    GoDown, ///< Closes all connections and accepts no further ones.
    GoDownLate, ///< The same one second later.
    GoDownWithReset, ///< Resets all connections and accepts no further ones.
    GoSilent, ///< Keeps all connections open and answers nothing more.
    Restart, ///< Closes the connection and goes on as a process that has just been started.
};

/// One answer. "@ID@" in the bytes is replaced by the request's attempt id.
struct scripted_answer {
    std::string bytes;
    answer_end end { answer_end::Keep };
    std::string repeated {};
    std::string requestText {}; ///< If set, the answer is given to each request that contains this text, and to no other.
};

class scripted_endpoint {
public:
    /// @param answers one for each request, in order; the last one repeats. Those with a requestText aren't in the order.
    explicit scripted_endpoint(std::vector<scripted_answer> answers);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    /// @return IP number and port.
    std::string address() const;
    /// @return the requests that arrived, byte for byte.
    std::vector<std::string> requests() const;
    /// @return the number of connections that the other side closed after an answer with answer_end::Wait or Endless.
    int abandoned() const;
    /// @return whether it has gone down or fallen silent.
    bool isDown() const;
    /// @return how often it was started again.
    int restarts() const;
    /// @return bytes sent of answers with answer_end::Endless.
    size_t bytesSent() const;

private:
    void serve();
    void serveConnection(boost::asio::ip::tcp::socket socket);
    scripted_answer nextAnswer(const std::string& request);
    scripted_answer chooseAnswer(const std::string& request);
    /// @return whether the connection ends.
    bool finishAnswer(boost::asio::ip::tcp::socket& socket, const scripted_answer& answer);
    void sendWithoutEnd(boost::asio::ip::tcp::socket& socket, const std::string& repeated);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::vector<scripted_answer> m_answers;
    std::vector<scripted_answer> m_conditionalAnswers;
    size_t m_answered { 0 }; ///< Of m_answers.
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<std::thread> m_connections;
    std::atomic<int> m_abandoned { 0 };
    std::atomic<size_t> m_bytesSent { 0 };
    std::atomic<bool> m_isDown { false };
    std::atomic<bool> m_isSilent { false };
    std::atomic<bool> m_closesWithReset { false };
    std::atomic<int> m_restarts { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// A caller that sends and receives raw bytes on one connection.
class raw_caller {
public:
    explicit raw_caller(uint16_t port);

    void send(const std::string& bytes);
    /// Reads until the connection ends, the answer is complete, or two seconds have passed.
    /// @return all bytes read.
    std::string receive();
    void close();

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

/// @return a free TCP port below the ephemeral range, reserved among the tests of this machine until this process ends.
uint16_t findFreePort();

/// @return whether an answer has all bytes of its Content-Length, or its last chunk.
bool isComplete(const std::string& answer);

/// @return the HTTP status of an answer; zero when it has none.
int statusOf(const std::string& answer);

} // namespace PlatformTests
