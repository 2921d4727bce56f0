#include "Platform/TimedTraffic.h"

#include "Platform/ScriptedEndpoint.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace PlatformTests {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::steady_clock;

    constexpr milliseconds answerLimit { 4000 };
    constexpr int pollMs = 20;
    constexpr int streamEvents = 8;

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int connectTo(uint16_t port)
    {
        const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const int one = 1;
        setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        if (connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return made;
        close(made);
        return -1;
    }

    bool sendAll(int socket, const std::string& bytes)
    {
        return send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    /// @return false when the other side has closed.
    bool receiveMore(int socket, std::string& received)
    {
        pollfd waiting { socket, POLLIN, 0 };
        if (poll(&waiting, 1, pollMs) <= 0)
            return true;
        char buffer[16384];
        const ssize_t size = recv(socket, buffer, sizeof buffer, 0);
        if (size > 0)
            received.append(buffer, static_cast<size_t>(size));
        return size > 0;
    }

    std::string valueOf(const std::string& head, const std::string& name)
    {
        const size_t start = head.find("\r\n" + name + ": ");
        if (start == std::string::npos)
            return {};
        const size_t value = start + name.size() + 4;
        return head.substr(value, head.find("\r\n", value) - value);
    }

    /// @return bytes of the first whole message; zero while there is none.
    size_t wholeMessage(const std::string& bytes)
    {
        const size_t end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            return 0;
        const std::string head = bytes.substr(0, end + 2);
        if (!valueOf(head, "Transfer-Encoding").empty()) {
            const size_t last = bytes.find("\r\n0\r\n\r\n", end);
            return last == std::string::npos ? 0 : last + 7;
        }
        const std::string length = valueOf(head, "Content-Length");
        const size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
        return bytes.size() >= size ? size : 0;
    }

} // namespace

timed_endpoint::timed_endpoint(milliseconds work, size_t slots)
    : m_work(work)
    , m_slots(slots)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in any = loopback(0);
    bind(m_listener, reinterpret_cast<const sockaddr*>(&any), sizeof any);
    listen(m_listener, 1024);
    m_thread = std::thread([this] { serve(); });
}

timed_endpoint::~timed_endpoint()
{
    m_isStopping = true;
    m_thread.join();
    for (std::thread& connection : m_connections)
        connection.join();
    close(m_listener);
}

void timed_endpoint::setWork(milliseconds work)
{
    m_work = work;
}

std::string timed_endpoint::address() const
{
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
    return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

std::set<std::string> timed_endpoint::arrivals() const
{
    const std::lock_guard guard(m_mutex);
    return m_arrivals;
}

void timed_endpoint::serve()
{
    while (!m_isStopping) {
        pollfd waiting { m_listener, POLLIN, 0 };
        if (poll(&waiting, 1, pollMs) <= 0)
            continue;
        const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0)
            m_connections.emplace_back([this, accepted] { serveConnection(accepted); });
    }
}

void timed_endpoint::serveConnection(int socket)
{
    std::string received;
    while (!m_isStopping && receiveMore(socket, received)) {
        const size_t size = wholeMessage(received);
        if (size == 0)
            continue;
        answer(socket, received.substr(0, size));
        received.erase(0, size);
    }
    close(socket);
}

void timed_endpoint::answer(int socket, const std::string& request)
{
    const std::string id = valueOf(request, "X-Filbertreel-Attempt-Id");
    {
        const std::lock_guard guard(m_mutex);
        m_arrivals.insert(id);
    }
    while (m_busy.fetch_add(1) >= m_slots && !m_isStopping) {
        --m_busy;
        std::this_thread::sleep_for(milliseconds(2));
    }
    const milliseconds work = m_work;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: " + id + "\r\nX-Filbertreel-Server-Seal: s.1\r\n";
    if (request.find(" /stream/") == std::string::npos) {
        std::this_thread::sleep_for(work);
        sendAll(socket, head + "Content-Length: 5\r\n\r\nhello");
    } else {
        std::this_thread::sleep_for(work / 4);
        sendAll(socket, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= streamEvents && !m_isStopping; ++event) {
            sendAll(socket, "f\r\nid: " + std::to_string(event) + "\ndata: t\n\n\r\n");
            std::this_thread::sleep_for(work * 3 / 4 / streamEvents);
        }
        sendAll(socket, "0\r\n\r\n");
    }
    --m_busy;
}

timed_callers::timed_callers(std::vector<uint16_t> ports, size_t callers, const request_shape& shape)
    : m_ports(std::move(ports))
    , m_shape(shape)
{
    for (size_t caller = 0; caller < callers; ++caller)
        m_threads.emplace_back([this, caller] { call(caller); });
}

timed_callers::~timed_callers()
{
    finish();
}

std::vector<sent_request> timed_callers::finish()
{
    m_isStopping = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
    const std::lock_guard guard(m_mutex);
    return m_requests;
}

void timed_callers::call(size_t caller)
{
    int connection = -1;
    const std::string body = "0123456789";
    for (size_t number = 0; !m_isStopping; ++number) {
        if (connection < 0)
            connection = connectTo(m_ports[(caller + number) % m_ports.size()]);
        if (connection < 0) {
            std::this_thread::sleep_for(milliseconds(2));
            continue;
        }
        std::vector<sent_request> batch;
        std::string bytes;
        for (int index = 0; index < m_shape.pipelined; ++index) {
            const std::string id = "c" + std::to_string(caller) + "n" + std::to_string(number) + "p" + std::to_string(index);
            batch.push_back({ id, 0, false, {}, {} });
            bytes += "POST " + m_shape.target + " HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: " + id + "\r\nX-Filbertreel-Time-Budget: 3000\r\nAuthorization: Bearer k1\r\n" + m_shape.moreLines + "Content-Length: 10\r\n\r\n" + body;
        }
        bool isOpen = true;
        if (m_shape.bodyPause.count() > 0) {
            isOpen = sendAll(connection, bytes.substr(0, bytes.size() - body.size() / 2));
            std::this_thread::sleep_for(m_shape.bodyPause);
            bytes.erase(0, bytes.size() - body.size() / 2);
        }
        isOpen = isOpen && sendAll(connection, bytes);
        const auto sent = steady_clock::now();
        std::string received;
        bool closes = false;
        const bool wasSent = isOpen;
        for (sent_request& request : batch) {
            request.sent = sent;
            while (isOpen && wholeMessage(received) == 0 && steady_clock::now() - sent < answerLimit)
                isOpen = receiveMore(connection, received);
            request.ended = steady_clock::now();
            const size_t size = wholeMessage(received);
            request.isAnswered = size > 0;
            request.status = statusOf(received);
            closes = closes || received.substr(0, size).find("Connection: close") != std::string::npos;
            received.erase(0, size);
        }
        if (wasSent) {
            const std::lock_guard guard(m_mutex);
            m_requests.insert(m_requests.end(), batch.begin(), batch.end());
        }
        if (!isOpen || closes || !m_shape.keepsConnection) {
            close(connection);
            connection = -1;
        }
        std::this_thread::sleep_for(m_shape.pause);
    }
    if (connection >= 0)
        close(connection);
}

} // namespace PlatformTests
