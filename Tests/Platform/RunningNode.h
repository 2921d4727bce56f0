#pragma once

/// @file
/// One real node as a process of its own, with its settings file and log in a folder of its own.

#include "Harness/Process.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace PlatformTests {

/// What a node's settings file says, beside its own ports.
struct node_surroundings {
    std::string name { "n1" };
    std::string storeAddress {};
    std::string cloudAddress {}; ///< Empty: the node has no duties.
    std::vector<std::string> moreLines {}; ///< Further lines of the settings file.
};

class running_node {
public:
    /// Writes the settings file and starts the node.
    explicit running_node(node_surroundings surroundings);
    /// Kills the node and removes its folder.
    ~running_node();
    running_node(const running_node&) = delete;
    running_node& operator=(const running_node&) = delete;

    /// Starts the node once more, as the platform does after its process ended.
    /// @param more lines at the end of its settings file.
    void startAgain(const std::string& more = "");
    /// Renews the settings file.
    /// @param more lines at its end.
    void writeSettings(const std::string& more) const;
    /// @return whether the newest process has come as far as to serve and to take signals.
    bool hasBegun() const;
    /// @return all lines that it has logged.
    std::string log() const;
    std::string logPath() const { return (m_folder / "log").string(); }

    /// @return the status of its readiness answer; zero when there is none.
    int readiness() const;
    /// @return the status of a request to the first route of the tests.
    int served(const std::string& key = "k1") const;

    uint16_t callers() const { return m_callers; }
    uint16_t ready() const { return m_ready; }
    uint16_t metrics() const { return m_metrics; }
    Harness::process child;

private:
    std::string settingsPath() const { return (m_folder / "boot.conf").string(); }

    node_surroundings m_surroundings;
    uint16_t m_callers;
    uint16_t m_ready;
    uint16_t m_peers;
    uint16_t m_metrics;
    std::filesystem::path m_folder;
    bool m_isFirstStart { true };
    size_t m_loggedBefore { 0 }; ///< By earlier processes.
};

/// Asks once and reads the whole answer.
/// @return its bytes; empty when there is no connection.
std::string ask(uint16_t port, const std::string& target, const std::string& host = "h.example", const std::string& key = "k1");

/// @return the status of an answer; zero when it has none.
int statusOf(const std::string& answer);

} // namespace PlatformTests
