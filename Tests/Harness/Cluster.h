#pragma once

/// @file
/// A small cluster on loopback: the platform's stand-ins, engines, a ledger and some nodes.

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
    bool hasRelays { false }; ///< Peers reach each node through a relay that can be closed.
    int engineSlots { 8 };
    std::vector<std::string> nodeOptions; ///< Further flags of every node.
    std::vector<std::string> engineOptions;
};

struct http_answer {
    Http::transfer_end end { Http::transfer_end::NotSent };
    int status { 0 };
    std::string body;
    std::string redirectUrl;
};

/// Sends one request and waits for its answer.
http_answer call(const std::string& method, const std::string& url, const std::string& body, const std::vector<Http::header>& headers = {}, int timeLimitMilliseconds = 10000);

class cluster {
public:
    explicit cluster(cluster_settings settings);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts everything, configures the classes of work and waits until all nodes are ready.
    void start();

    void startNode(int number);
    void startEngine(int number);
    void startLedger(int number);
    /// Lets peers reach a node again after its relay was killed.
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

    /// Changes a stand-in's faults.
    /// @return its counters.
    nlohmann::json control(const std::string& url, const nlohmann::json& change) const;
    /// Proposes a change as an operator.
    http_answer propose(int number, const nlohmann::json& change, int timeLimitMilliseconds = 15000) const;
    /// @return a node's configuration version, or -1 when it does not answer.
    int64_t configurationVersion(int number) const;
    /// @return a node's status page; null when it does not answer.
    nlohmann::json status(int number) const;
    /// Puts an engine or ledger on the cloud's list, or changes its state there.
    void listEndpoint(const std::string& id, const std::string& role, const std::string& service, const std::string& url, const std::string& zone, bool isLeaving = false, const std::string& version = "v1") const;
    /// @return whether a URL answers 200 within the time.
    bool waitFor(const std::string& url, int milliseconds = 10000) const;
    /// @return whether all nodes show at least this version within the time.
    bool waitForVersion(int64_t version, int milliseconds) const;
    /// @return what a process has written to its log so far.
    std::string logText(const std::string& name) const;
    /// @return how often each key ran at all ledgers together.
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
