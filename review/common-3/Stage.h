#pragma once

/// @file
/// Small stand-ins for the platform's store, its engines and its callers, and real node processes, on loopback addresses.
/// Each connection has a thread of its own.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace Review {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int brokenExit = 1;
constexpr int heldExit = 0;
constexpr int notRunExit = 2;

/// One HTTP message as it arrived.
struct message {
    std::string startLine;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool isComplete { false };

    /// @return a header's value; empty if it is absent.
    std::string header(const std::string& name) const;
    /// @return the status of a response; zero without one.
    int status() const;
    /// @return the path of a request, with its query.
    std::string target() const;
};

/// A blocking TCP connection.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @return whether all bytes were written.
    bool send(const std::string& bytes) const;
    /// Reads one message with a Content-Length or chunks.
    /// @param limit time for the whole message.
    message receive(milliseconds limit);
    /// @return whether the other side has closed or reset the connection.
    bool isClosed() const;
    void reset();
    int descriptor() const { return m_descriptor; }

private:
    bool fill(std::chrono::steady_clock::time_point end);

    int m_descriptor;
    std::string m_buffer;
};

/// @return a connection to a loopback port; null if there is none within a second.
std::unique_ptr<connection> connectTo(const std::string& ip, uint16_t port);

/// Accepts connections on a port of its own and serves each in a thread.
class listener {
public:
    listener(std::string ip, std::function<void(connection&)> serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    /// Closes the listening socket and resets all connections.
    void close();

private:
    void run();

    std::string m_ip;
    std::function<void(connection&)> m_serve;
    int m_socket { -1 };
    uint16_t m_port { 0 };
    std::mutex m_mutex;
    std::vector<connection*> m_open;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_running { 0 };
    std::thread m_thread;
};

/// The platform's store: tables of rows with one version counter.
class store {
public:
    store();

    std::string address() const { return m_listener.address(); }
    void put(const std::string& table, const std::string& key, const json& value);
    void remove(const std::string& table, const std::string& key);
    /// @return a row's value; null when there is no such row.
    json get(const std::string& table, const std::string& key);
    /// Keeps a copy of all rows, as a backup does.
    void backUp();
    /// Returns to the last copy: later writes are gone, except those of the given tables, which their writers write again.
    void restore(const std::vector<std::string>& writtenAgain);
    /// While it is away, every call gets 503.
    void setAway(bool isAway) { m_isAway = isAway; }
    void setEra(uint64_t era) { m_era = era; }

private:
    struct row {
        std::string value;
        uint64_t version { 0 };
        bool isRemoved { false };
    };
    using row_map = std::map<std::pair<std::string, std::string>, row>;

    void serve(connection& caller);
    json answer(const message& request, int& status);
    json select(const std::string& table, uint64_t after, bool withRemoved, const std::string& from, const std::string& to) const;
    json transact(const json& body, int& status);
    json feed(const std::string& table, uint64_t after, milliseconds wait, int& status);

    mutable std::mutex m_mutex;
    row_map m_rows;
    uint64_t m_version { 0 };
    row_map m_copy;
    uint64_t m_copyVersion { 0 };
    std::atomic<uint64_t> m_era { 0 };
    std::atomic<bool> m_isAway { false };
    listener m_listener; ///< Last, since its threads use the rest.
};

/// Settings of a node that differ between cases.
struct node_settings {
    std::string name;
    std::string ip;
    std::string storeAddress;
    std::string cloudAddress {};
    std::vector<std::string> lines {}; ///< Further lines of the settings file.
    size_t descriptors { 0 }; ///< That the process may open; zero: as many as this one.
};

/// A node of the system, run with the command of the deploy file in the repository's root.
class node {
public:
    /// @param command program and arguments, separated by spaces.
    node(const std::string& command, const std::string& folder, node_settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start();
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// @return whether the process has ended.
    bool hasEnded();
    /// Waits for the process's end.
    /// @return whether it has ended within the time.
    bool waitForEnd(milliseconds limit);
    /// Waits until the node is ready.
    bool waitUntilReady(milliseconds limit) const;
    /// @return memory that the process occupies, in megabytes; zero when it has ended.
    size_t residentMegabytes() const;
    size_t openDescriptors() const;
    uint16_t callers() const { return m_callers; }
    uint16_t directory() const { return m_directory; }
    uint16_t ready() const { return m_ready; }
    const std::string& ip() const { return m_settings.ip; }
    const std::string& name() const { return m_settings.name; }
    pid_t process() const { return m_process; }

private:
    std::vector<std::string> m_command;
    std::string m_folder;
    node_settings m_settings;
    uint16_t m_callers;
    uint16_t m_ready;
    uint16_t m_directory;
    uint16_t m_firstPeerPort;
    uint16_t m_lastPeerPort;
    pid_t m_process { -1 };
    int m_starts { 0 };
};

/// Writes what was seen to the record and to standard output.
class record {
public:
    explicit record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start { std::chrono::steady_clock::now() };
};

/// @return a free TCP port of an address.
uint16_t findFreePort(const std::string& ip);

/// @return a manifest with one service "s", one tenant and the given routes.
json makeManifest(uint64_t version, const json& routes);
/// @return a route of the host h.example with the prefix "/NAME/".
json makeRoute(const std::string& name, const std::string& kind, int timeoutMs, bool isResumable = false);
/// @return an engine's row.
json makeEntry(const std::string& address, int64_t born, const std::string& state = "ready", uint64_t sequence = 1);
/// @return header lines that every caller sends, without the blank line.
std::string requestHead(const std::string& method, const std::string& target, const std::string& id, int budgetMs);
/// Waits until the condition holds.
bool eventually(milliseconds limit, const std::function<bool()>& condition);

/// Runs a case and turns what it throws into the exit status of a case that couldn't run.
/// @param play gets the node's command, a temporary folder, the record and whether the disruption is on.
/// @return the exit status.
int runCase(int count, char** arguments, const std::function<int(const std::string& command, const std::string& folder, record& out, bool isTroubled)>& play);

} // namespace Review
