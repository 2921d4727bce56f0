#include "Crowd.h"

#include <algorithm>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr size_t senderCount = 8;
    constexpr int timeLimitMs = 15000;
    constexpr milliseconds lookInterval { 20 };
    /// Longer than a node waits before a caller that sends nothing counts as stalled.
    constexpr milliseconds stillTime { 2300 };

    std::string chunk(const std::string& bytes)
    {
        char size[16];
        snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

} // namespace

engines::engines()
{
    for (size_t number = 0; number < engineCount; ++number) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        socklen_t size = sizeof(address);
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) != 0 || listen(descriptor, 1024) != 0)
            throw std::runtime_error("an engine can't listen");
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        m_polled.push_back({ descriptor, POLLIN, 0 });
        m_ports.push_back(ntohs(address.sin_port));
    }
    m_thread = std::thread([this] { run(); });
}

engines::~engines()
{
    m_isStopping = true;
    m_thread.join();
    for (const pollfd& item : m_polled)
        close(item.fd);
}

void engines::run()
{
    while (!m_isStopping) {
        poll(m_polled.data(), m_polled.size(), static_cast<int>(lookInterval.count()));
        for (size_t index = 0; index < engineCount; ++index) {
            for (int accepted = 0; (accepted = accept4(m_polled[index].fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
                m_polled.push_back({ accepted, POLLIN, 0 });
        }
        for (size_t index = engineCount; index < m_polled.size(); ++index) {
            if (m_polled[index].revents != 0 && !read(m_polled[index].fd))
                m_polled[index].fd = -1;
        }
        sendDue();
        std::erase_if(m_polled, [](const pollfd& item) { return item.fd < 0; });
    }
}

bool engines::read(int descriptor)
{
    char bytes[16384];
    const ssize_t count = recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count <= 0) {
        m_running -= m_exchanges[descriptor].eventsLeft > 0 ? 1 : 0;
        m_exchanges.erase(descriptor);
        close(descriptor);
        return false;
    }
    exchange& item = m_exchanges[descriptor];
    item.received.append(bytes, static_cast<size_t>(count));
    const size_t headEnd = item.received.find("\r\n\r\n");
    const size_t length = item.received.find("Content-Length: ");
    if (headEnd == std::string::npos || length > headEnd)
        return true;
    const size_t bodyBytes = std::stoul(item.received.substr(length + 16));
    if (item.received.size() >= headEnd + 4 + bodyBytes)
        begin(descriptor, item);
    return true;
}

void engines::begin(int descriptor, exchange& item)
{
    const std::string name = "X-Filbertreel-Attempt-Id: ";
    const size_t start = item.received.find(name) + name.size();
    item.id = item.received.substr(start, item.received.find("\r\n", start) - start);
    item.eventsLeft = item.received.rfind("POST /chat/short", 0) == 0 ? 1 : longEvents;
    item.event = 0;
    item.received.clear();
    ++m_running;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Filbertreel-Attempt-Id: " + item.id + "\r\nX-Filbertreel-Server-Seal: s." + item.id + "\r\nX-Filbertreel-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    ::send(descriptor, head.data(), head.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    sendEvent(descriptor, item);
}

void engines::sendDue()
{
    const auto now = steady_clock::now();
    if (now < m_nextLook)
        return;
    m_nextLook = now + lookInterval;
    for (auto& [descriptor, item] : m_exchanges) {
        if (item.eventsLeft > 0 && item.next <= now)
            sendEvent(descriptor, item);
    }
}

void engines::sendEvent(int descriptor, exchange& item)
{
    ++item.event;
    --item.eventsLeft;
    item.next = steady_clock::now() + eventInterval;
    std::string bytes = chunk("id: " + std::to_string(item.event) + "\ndata: " + item.id + "-" + std::to_string(item.event) + "\n\n");
    if (item.eventsLeft == 0) {
        bytes += "0\r\n\r\n";
        --m_running;
    }
    ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

void fillStore(store& rows, const engines& served)
{
    json route = makeRoute("chat", "streaming", timeLimitMs);
    rows.put("op", "config", makeManifest(3, json::array({ route })));
    for (size_t number = 0; number < engineCount; ++number) {
        json entry = makeEntry(served.address(number), 1);
        entry["slots"] = engineSlots;
        rows.put("servers", "i-" + std::to_string(number), entry);
    }
}

std::string makeCrowdRequest(const std::string& target, const std::string& id, size_t bodyBytes)
{
    return requestHead("POST", target, id, timeLimitMs) + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

std::unique_ptr<connection> startOrdinary(const node& asked, size_t number)
{
    constexpr size_t bodyBytes = 600;
    auto caller = connectTo(asked.ip(), asked.callers());
    const bool isServed = caller && caller->send(makeCrowdRequest("/chat/short", "first" + std::to_string(number), bodyBytes)) && caller->receive(milliseconds(3000)).isComplete;
    if (!isServed || !caller->send(makeCrowdRequest("/chat/long", "ordinary" + std::to_string(number), bodyBytes)))
        return nullptr;
    return caller;
}

connection_list sendAll(const node& asked, size_t count, const std::function<std::string(size_t)>& makeBytes)
{
    connection_list callers(count);
    std::vector<std::thread> senders;
    for (size_t first = 0; first < senderCount; ++first) {
        senders.emplace_back([&, first] {
            for (size_t number = first; number < count; number += senderCount) {
                callers[number] = connectTo(asked.ip(), asked.callers());
                if (callers[number])
                    callers[number]->send(makeBytes(number));
            }
        });
    }
    for (std::thread& sender : senders)
        sender.join();
    return callers;
}

connection_list startShort(const node& asked)
{
    connection_list callers = sendAll(asked, shortCallers, [](size_t number) {
        std::string bytes = makeCrowdRequest("/chat/long", "short" + std::to_string(number), shortBodyBytes);
        bytes.pop_back();
        return bytes;
    });
    std::this_thread::sleep_for(stillTime);
    return callers;
}

connection_list startWhole(const node& asked)
{
    return sendAll(asked, wholeCallers, [](size_t number) { return makeCrowdRequest("/chat/long", "whole" + std::to_string(number), wholeBodyBytes); });
}

connection_list startLookUps(const node& asked)
{
    connection_list callers;
    for (size_t number = 0; number < lookUpCallers; ++number) {
        callers.push_back(connectTo(asked.ip(), asked.directory()));
        if (callers.back())
            callers.back()->send("GET /v1/resolve?name=h.example&region=r&zone=z HTTP/1.1\r\nHost: h.example\r\n\r\n");
    }
    return callers;
}

void raiseOwnDescriptors(size_t needed)
{
    rlimit own {};
    getrlimit(RLIMIT_NOFILE, &own);
    own.rlim_cur = own.rlim_max;
    setrlimit(RLIMIT_NOFILE, &own);
    if (own.rlim_cur < needed)
        throw std::runtime_error("the script needs " + std::to_string(needed) + " descriptors");
}

} // namespace Review
