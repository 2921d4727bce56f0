#include "Platform/ScriptedEndpoint.h"

#include "Common/Random.h"

#include <array>
#include <chrono>
#include <stdexcept>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <poll.h>
#include <sys/socket.h>

namespace PlatformTests {

namespace {

    using boost::asio::ip::tcp;
    using boost::asio::ip::udp;
    using boost::system::error_code;

    /// Test ports lie below the ephemeral range, so no outgoing connection occupies one.
    constexpr int firstTestPort = 12000;
    constexpr int testPortCount = 11000;

    constexpr int pollIntervalMs = 20;
    constexpr std::chrono::milliseconds lateAfter { 50 };
    constexpr std::chrono::milliseconds goesDownAfter { 1020 };
    constexpr auto readTimeout = std::chrono::seconds(2);

    bool isReadable(tcp::socket& socket)
    {
        pollfd waiting { socket.native_handle(), POLLIN, 0 };
        return poll(&waiting, 1, pollIntervalMs) > 0;
    }

    std::string headerValue(const std::string& head, const std::string& name)
    {
        const size_t start = head.find("\r\n" + name + ": ");
        if (start == std::string::npos)
            return {};
        const size_t value = start + name.size() + 4;
        return head.substr(value, head.find("\r\n", value) - value);
    }

    /// @return the size of a message with its body in bytes; zero while its head is incomplete.
    size_t messageSize(const std::string& bytes)
    {
        const size_t end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            return 0;
        const std::string length = headerValue(bytes.substr(0, end + 2), "Content-Length");
        return end + 4 + (length.empty() ? 0 : std::stoul(length));
    }

} // namespace

scripted_endpoint::scripted_endpoint(std::vector<scripted_answer> answers)
    : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
{
    for (scripted_answer& answer : answers)
        (answer.requestText.empty() ? m_answers : m_conditionalAnswers).push_back(std::move(answer));
    m_thread = std::thread([this] { serve(); });
}

scripted_endpoint::~scripted_endpoint()
{
    m_isStopping = true;
    m_thread.join();
    for (std::thread& connection : m_connections)
        connection.join();
}

std::string scripted_endpoint::address() const
{
    return m_address;
}

std::vector<std::string> scripted_endpoint::requests() const
{
    const std::lock_guard guard(m_mutex);
    return m_requests;
}

size_t scripted_endpoint::bytesSent() const
{
    return m_bytesSent;
}

bool scripted_endpoint::isDown() const
{
    return m_isDown || m_isSilent;
}

int scripted_endpoint::restarts() const
{
    return m_restarts;
}

int scripted_endpoint::abandoned() const
{
    return m_abandoned;
}

void scripted_endpoint::serve()
{
    m_acceptor.non_blocking(true);
    while (!m_isStopping && !m_isDown) {
        pollfd waiting { m_acceptor.native_handle(), POLLIN, 0 };
        if (poll(&waiting, 1, pollIntervalMs) <= 0)
            continue;
        error_code error;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (error)
            continue;
        socket.non_blocking(false);
        m_connections.emplace_back([this, socket = std::move(socket)]() mutable { serveConnection(std::move(socket)); });
    }
    error_code error;
    m_acceptor.close(error);
}

scripted_answer scripted_endpoint::chooseAnswer(const std::string& request)
{
    for (const scripted_answer& answer : m_conditionalAnswers) {
        if (request.find(answer.requestText) != std::string::npos)
            return answer;
    }
    return m_answers[std::min(++m_answered, m_answers.size()) - 1];
}

scripted_answer scripted_endpoint::nextAnswer(const std::string& request)
{
    const std::lock_guard guard(m_mutex);
    m_requests.push_back(request);
    scripted_answer answer = chooseAnswer(request);
    const std::string id = headerValue(request, "X-Filbertreel-Attempt-Id");
    for (size_t found = answer.bytes.find("@ID@"); found != std::string::npos; found = answer.bytes.find("@ID@"))
        answer.bytes.replace(found, 4, id);
    return answer;
}

void scripted_endpoint::serveConnection(tcp::socket socket)
{
    std::string received;
    std::array<char, 4096> buffer {};
    bool isWaiting = false;
    if (!m_answers.empty() && m_answers.front().end == answer_end::Early)
        boost::asio::write(socket, boost::asio::buffer(m_answers.front().repeated));
    while (!m_isStopping && !m_isDown) {
        if (!isReadable(socket))
            continue;
        error_code error;
        const size_t size = socket.read_some(boost::asio::buffer(buffer), error);
        if (error) {
            m_abandoned += isWaiting ? 1 : 0;
            return;
        }
        received.append(buffer.data(), size);
        const size_t message = messageSize(received);
        if (message == 0 || received.size() < message)
            continue;
        if (m_isSilent)
            continue;
        const scripted_answer answer = nextAnswer(received.substr(0, message));
        received.erase(0, message);
        boost::asio::write(socket, boost::asio::buffer(answer.bytes), error);
        if (finishAnswer(socket, answer))
            return;
        isWaiting = answer.end == answer_end::Wait;
    }
    if (m_isDown && m_closesWithReset) {
        error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
}

bool scripted_endpoint::finishAnswer(tcp::socket& socket, const scripted_answer& answer)
{
    error_code error;
    switch (answer.end) {
    case answer_end::Keep:
    case answer_end::Wait:
    case answer_end::Early:
        return false;
    case answer_end::Late:
        std::this_thread::sleep_for(lateAfter);
        boost::asio::write(socket, boost::asio::buffer(answer.repeated), error);
        return false;
    case answer_end::GoSilent:
        m_isSilent = true;
        return false;
    case answer_end::GoDownLate:
        std::this_thread::sleep_for(goesDownAfter);
        m_isDown = true;
        return false;
    case answer_end::GoDown:
        m_isDown = true;
        return false;
    case answer_end::GoDownWithReset:
        m_closesWithReset = true;
        m_isDown = true;
        return false;
    case answer_end::Endless:
        sendWithoutEnd(socket, answer.repeated);
        return true;
    case answer_end::Reset:
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        socket.close();
        return true;
    case answer_end::Restart:
        ++m_restarts;
        socket.close();
        return true;
    case answer_end::Close:
        socket.close();
        return true;
    }
    return true;
}

void scripted_endpoint::sendWithoutEnd(tcp::socket& socket, const std::string& repeated)
{
    error_code error;
    while (!m_isStopping && !error) {
        pollfd waiting { socket.native_handle(), POLLOUT, 0 };
        if (poll(&waiting, 1, pollIntervalMs) > 0)
            m_bytesSent += socket.write_some(boost::asio::buffer(repeated), error);
    }
    m_abandoned += error ? 1 : 0;
}

raw_caller::raw_caller(uint16_t port)
    : m_socket(m_context)
{
    m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
}

void raw_caller::send(const std::string& bytes)
{
    boost::asio::write(m_socket, boost::asio::buffer(bytes));
}

std::string raw_caller::receive()
{
    const auto until = std::chrono::steady_clock::now() + readTimeout;
    std::string received;
    std::array<char, 4096> buffer {};
    while (std::chrono::steady_clock::now() < until && !isComplete(received)) {
        if (!isReadable(m_socket))
            continue;
        error_code error;
        const size_t size = m_socket.read_some(boost::asio::buffer(buffer), error);
        received.append(buffer.data(), size);
        if (error)
            break;
    }
    return received;
}

void raw_caller::close()
{
    m_socket.close();
}

uint16_t findFreePort()
{
    static std::mutex mutex;
    static boost::asio::io_context context;
    // Binding the UDP port of the same number reserves it among the test processes of this machine.
    static std::vector<udp::socket> reservations;
    static uint16_t next = static_cast<uint16_t>(firstTestPort + Common::systemSeed() % testPortCount);
    const std::lock_guard guard(mutex);
    for (int tries = 0; tries < testPortCount; ++tries) {
        next = next + 1 < firstTestPort + testPortCount ? next + 1 : firstTestPort;
        error_code error;
        udp::socket reservation(context, udp::v4());
        reservation.bind({ boost::asio::ip::make_address("127.0.0.1"), next }, error);
        tcp::socket probe(context, tcp::v4());
        if (!error)
            probe.bind({ boost::asio::ip::make_address("127.0.0.1"), next }, error);
        if (error)
            continue;
        reservations.push_back(std::move(reservation));
        return next;
    }
    throw std::runtime_error("no free port for a test");
}

bool isComplete(const std::string& answer)
{
    const size_t end = answer.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    if (answer.find("Transfer-Encoding: chunked") < end)
        return answer.ends_with("0\r\n\r\n");
    return answer.size() >= messageSize(answer);
}

int statusOf(const std::string& answer)
{
    constexpr size_t statusAt = 9;
    constexpr size_t statusSize = 3;
    return answer.size() > statusAt + statusSize ? std::stoi(answer.substr(statusAt, statusSize)) : 0;
}

} // namespace PlatformTests
