#pragma once

/// @file
/// A real node as a child process, with its settings file and log in a temporary folder.

#include "Harness/Process.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace PlatformTests {

/// The settings of a node that differ between tests. Its ports are chosen by running_node.
struct node_surroundings {
    std::string name { "n1" };
    std::string storeAddress {};
    std::string cloudAddress {}; ///< Empty: the node runs no duties against the cloud.
    std::vector<std::string> moreLines {}; ///< Further lines of the settings file.
    std::vector<std::string> programs {}; ///< One for each start, in order; the last one repeats. Empty: the program of this build.
};

class running_node {
public:
    /// Writes the settings file and starts the node.
    explicit running_node(node_surroundings surroundings);
    /// Kills the node and removes its folder.
    ~running_node();
    running_node(const running_node&) = delete;
    running_node& operator=(const running_node&) = delete;

    /// Starts a new process, as the platform does after a node's process has ended.
    /// @param extraLines appended to the settings file.
    void startAgain(const std::string& extraLines = "");
    /// Rewrites the settings file.
    /// @param extraLines appended to it.
    void writeSettings(const std::string& extraLines) const;
    /// @return whether the newest process has logged its start; from then on it serves and handles signals.
    bool hasBegun() const;
    /// @return the log of all processes started so far.
    std::string log() const;
    std::string logPath() const { return (m_folder / "log").string(); }

    /// @return the HTTP status of the readiness check; zero without an answer.
    int readiness() const;
    /// @return the HTTP status of a request to the tests' route; zero without an answer.
    int served(const std::string& key = "k1") const;

    /// The TCP ports of the node's listeners on 127.0.0.1.
    uint16_t callers() const { return m_callers; }
    uint16_t ready() const { return m_ready; }
    uint16_t metrics() const { return m_metrics; }
    Harness::process child; ///< The newest process.

private:
    std::string settingsPath() const { return (m_folder / "boot.conf").string(); }
    std::string nextProgram();

    node_surroundings m_surroundings;
    uint16_t m_callers;
    uint16_t m_ready;
    uint16_t m_peers;
    uint16_t m_metrics;
    std::filesystem::path m_folder;
    bool m_isFirstStart { true };
    size_t m_starts { 0 };
    size_t m_earlierLogSize { 0 }; ///< Bytes logged by earlier processes.
};

/// Sends one GET request and reads the answer.
/// @return the bytes of the answer; empty without a connection.
std::string ask(uint16_t port, const std::string& target, const std::string& host = "h.example", const std::string& key = "k1");

} // namespace PlatformTests
