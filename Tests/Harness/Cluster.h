#pragma once

/// @file
/// Small cluster on loopback: stand-ins of the platform, engines, ledgers and nodes, each as a process.

#include "Harness/Process.h"

#include "Http/Client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Harness {

struct cluster_settings {
    uint16_t basePort { 0 };
    int nodes { 3 };
    int engines { 3 };
    int ledgers { 1 };
    bool hasRelays { false }; ///< Peers connect to each node through a relay process that a test can kill.
    int engineSlots { 8 };
    std::vector<std::string> nodeOptions; ///< Additional command-line options of every node.
    std::vector<std::string> engineOptions; ///< Additional command-line options of every engine.
};

struct http_answer {
    Http::transfer_end end { Http::transfer_end::NotSent };
    int status { 0 }; ///< HTTP status; 0 without an answer.
    std::string body;
    std::string redirectUrl; ///< Empty without a redirect.
};

/// Sends one HTTP request, without retries, and blocks until it ends.
http_answer call(const std::string& method, const std::string& url, const std::string& body, const std::vector<Http::header>& headers = {}, int timeLimitMilliseconds = 10000);

/// Nodes, engines and ledgers are numbered from 1. The destructor kills all processes and removes their logs unless
/// KEEP_LOGS is set in the environment.
class cluster {
public:
    explicit cluster(cluster_settings settings);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts all processes, proposes the request classes and an account, and waits until all nodes are ready.
    void start();

    void startNode(int number);
    void startEngine(int number);
    void startLedger(int number);
    /// Starts a node's relay, for example after a test has killed it.
    void startRelay(int number);
    process& node(int number) { return m_nodes[number]; }
    process& engine(int number) { return m_engines[number]; }
    process& relay(int number) { return m_relays[number]; }
    process& ledger(int number) { return m_ledgers[number]; }

    std::string nodeUrl(int number) const;
    std::string tableUrl() const;
    std::string cloudUrl() const;
    std::string engineUrl(int number) const;
    std::string ledgerUrl(int number) const;
    const std::string& accountKey() const { return m_accountKey; }
    const cluster_settings& settings() const { return m_settings; }

    /// Changes the simulated faults of a stand-in.
    /// @return the stand-in's counters.
    nlohmann::json control(const std::string& url, const nlohmann::json& change) const;
    /// Proposes a configuration change to a node, as an operator.
    http_answer propose(int number, const nlohmann::json& change, int timeLimitMilliseconds = 15000) const;
    /// @return a node's configuration version, or -1 when it does not answer.
    int64_t configurationVersion(int number) const;
    /// @return a node's operator status; null when it does not answer.
    nlohmann::json status(int number) const;
    /// Adds an engine or ledger to the cloud's list of instances, or updates it there.
    void listEndpoint(const std::string& id, const std::string& role, const std::string& service, const std::string& url, const std::string& zone, bool isLeaving = false, const std::string& version = "v1") const;
    /// Polls a URL.
    /// @return whether it answered with status 200 within the time.
    bool waitFor(const std::string& url, int milliseconds = 10000) const;
    /// Polls all nodes.
    /// @return whether all reached at least this configuration version within the time.
    bool waitForVersion(int64_t version, int milliseconds) const;
    /// @param name of the process, such as "node-1".
    /// @return the output of the process so far.
    std::string logText(const std::string& name) const;
    /// @return number of runs for each idempotency key, summed over all ledgers.
    std::map<std::string, uint64_t> ledgerRuns() const;

private:
    int peerPort(int number) const;
    void configure();

    cluster_settings m_settings;
    std::string m_logFolder;
    std::string m_accountKey;
    process m_table;
    process m_cloud;
    std::map<int, process> m_relays;
    std::map<int, process> m_nodes;
    std::map<int, process> m_engines;
    std::map<int, process> m_ledgers;
};

} // namespace Harness
