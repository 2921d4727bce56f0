#pragma once

/// @file
/// Sound engines with many streams in progress, and the crowd of callers that the users' news describes: large bodies of legal
/// size at once, most of them stopping just short of their end and staying open.

#include "Stage.h"

#include <poll.h>

namespace Review {

using std::chrono::steady_clock;

constexpr size_t engineCount = 12;
constexpr size_t engineSlots = 128;
/// Requests whose body is whole; with the ordinary ones fewer than the 2034, (4100 - 32) / 2, that a node admits.
constexpr size_t wholeCallers = 1975;
/// Requests that stop one byte short: most of the crowd.
constexpr size_t shortCallers = 2100;
constexpr size_t wholeBodyBytes = 12000;
constexpr size_t shortBodyBytes = 16000;
/// Callers that ask the directory where to connect and keep their channels, as HTTP/1.1 has it.
constexpr size_t lookUpCallers = 60;
constexpr size_t descriptorLimit = 4100;
constexpr size_t longEvents = 56;
constexpr milliseconds eventInterval { 200 };

/// Engines that serve all their connections in one thread: streams of one event for targets that begin with /chat/short, of longEvents
/// for others.
class engines {
public:
    engines();
    ~engines();
    engines(const engines&) = delete;
    engines& operator=(const engines&) = delete;

    std::string address(size_t number) const { return "127.0.0.1:" + std::to_string(m_ports[number]); }
    /// @return streams in progress.
    size_t running() const { return m_running; }

private:
    struct exchange {
        std::string received;
        std::string id;
        size_t eventsLeft { 0 };
        size_t event { 0 };
        steady_clock::time_point next {};
    };

    void run();
    /// @return whether the connection stays open.
    bool read(int descriptor);
    void begin(int descriptor, exchange& item);
    void sendDue();
    void sendEvent(int descriptor, exchange& item);

    std::vector<pollfd> m_polled;
    std::vector<uint16_t> m_ports;
    std::map<int, exchange> m_exchanges;
    steady_clock::time_point m_nextLook {};
    std::atomic<size_t> m_running { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

using connection_list = std::vector<std::unique_ptr<connection>>;

/// Writes the manifest and the engines' entries.
void fillStore(store& rows, const engines& served);
/// @return a whole request for the streaming route.
std::string makeCrowdRequest(const std::string& target, const std::string& id, size_t bodyBytes);
/// @return a channel that has served one stream and has a long one in progress; null if the first wasn't served.
std::unique_ptr<connection> startOrdinary(const node& asked, size_t number);
/// Opens connections and sends on each what the function returns for its number.
connection_list sendAll(const node& asked, size_t count, const std::function<std::string(size_t)>& makeBytes);
/// Sends requests that stop one byte short of their end, and waits until they have been still for a while.
connection_list startShort(const node& asked);
/// Sends whole requests.
connection_list startWhole(const node& asked);
/// Asks the directory where to connect, from new channels that stay open.
connection_list startLookUps(const node& asked);
/// Lets the process open as many descriptors as it may. Throws when that is too few.
void raiseOwnDescriptors(size_t needed);

} // namespace Review
