#include "Harness/Cluster.h"

#include "Configuration/Secret.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

namespace Harness {

namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr int nodePortOffset = 100;
    constexpr int enginePortOffset = 200;
    constexpr int ledgerPortOffset = 300;
    constexpr int peerPortOffset = 500;
    constexpr int relayPortOffset = 700;
    constexpr std::string_view operatorKey = "test-operator-key";

    const char* zoneOf(int number)
    {
        return number % 2 == 1 ? "east" : "west";
    }

    std::string loopbackUrl(int port)
    {
        return "http://127.0.0.1:" + std::to_string(port);
    }

    bool waitUntil(int milliseconds, const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

} // namespace

http_answer call(const std::string& method, const std::string& url, const std::string& body, const std::vector<Http::header>& headers, int timeLimitMilliseconds)
{
    Http::client client;
    Http::outgoing_request request;
    request.method = method;
    request.url = url;
    request.headers = headers;
    request.body = body;
    request.mayRepeat = false;
    request.timeLimit = std::chrono::milliseconds(timeLimitMilliseconds);
    std::optional<http_answer> answer;
    client.start(std::move(request), [&answer](Http::transfer_answer&& completed) {
        answer = http_answer { completed.end, static_cast<int>(completed.status), std::move(completed.body), std::move(completed.redirectUrl) };
    });
    while (!answer)
        client.poll(pollInterval);
    return std::move(*answer);
}

cluster::cluster(cluster_settings settings)
    : m_settings(std::move(settings))
{
    // Concurrent runs on one machine, such as mutation tests, need separate ports.
    if (const char* offset = std::getenv("FILBERTREEL_TEST_PORT_OFFSET"))
        m_settings.basePort = static_cast<uint16_t>(m_settings.basePort + std::atoi(offset));
    m_logFolder = std::filesystem::temp_directory_path() / ("filbertreel-" + std::to_string(getpid()) + "-" + std::to_string(m_settings.basePort));
    std::filesystem::create_directories(m_logFolder);
}

cluster::~cluster()
{
    for (auto& [number, child] : m_nodes)
        killProcess(child);
    for (auto& [number, child] : m_engines)
        killProcess(child);
    for (auto& [number, child] : m_ledgers)
        killProcess(child);
    for (auto& [number, child] : m_relays)
        killProcess(child);
    killProcess(m_cloud);
    killProcess(m_table);
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_logFolder);
    else
        std::cerr << "process logs are in " << m_logFolder << "\n";
}

void cluster::start()
{
    m_table = startProcess({ STANDIN_PROGRAM, "table", "--port", std::to_string(m_settings.basePort) }, {}, m_logFolder + "/table.log");
    m_cloud = startProcess({ STANDIN_PROGRAM, "cloud", "--port", std::to_string(m_settings.basePort + 1) }, {}, m_logFolder + "/cloud.log");
    waitFor(tableUrl() + "/control");
    waitFor(cloudUrl() + "/control");
    for (int number = 1; number <= m_settings.engines; ++number)
        startEngine(number);
    for (int number = 1; number <= m_settings.ledgers; ++number)
        startLedger(number);
    for (int number = 1; number <= m_settings.nodes && m_settings.hasRelays; ++number)
        startRelay(number);
    for (int number = 1; number <= m_settings.nodes; ++number)
        startNode(number);
    configure();
}

int cluster::peerPort(int number) const
{
    return m_settings.basePort + number + (m_settings.hasRelays ? relayPortOffset : peerPortOffset);
}

void cluster::startRelay(int number)
{
    const std::vector<std::string> arguments { STANDIN_PROGRAM, "relay", "--port", std::to_string(peerPort(number)), "--target-port", std::to_string(m_settings.basePort + peerPortOffset + number) };
    m_relays[number] = startProcess(arguments, {}, m_logFolder + "/relay-" + std::to_string(number) + ".log");
}

void cluster::startNode(int number)
{
    const int seed = number == 1 ? 2 : 1;
    std::vector<std::string> arguments {
        NODE_PROGRAM,
        "--node", "node-" + std::to_string(number),
        "--zone", zoneOf(number),
        "--region", "midlands",
        "--http-listen", nodeUrl(number).substr(7),
        "--peer-listen", loopbackUrl(m_settings.basePort + peerPortOffset + number).substr(7),
        "--peer-advertise", loopbackUrl(peerPort(number)).substr(7),
        "--peer", loopbackUrl(peerPort(seed)).substr(7),
        "--table-url", tableUrl(),
        "--cloud-url", cloudUrl(),
        "--operator-key", std::string(operatorKey)
    };
    arguments.insert(arguments.end(), m_settings.nodeOptions.begin(), m_settings.nodeOptions.end());
    m_nodes[number] = startProcess(arguments, {}, m_logFolder + "/node-" + std::to_string(number) + ".log");
}

void cluster::startEngine(int number)
{
    const std::string name = "engine-" + std::to_string(number);
    std::vector<std::string> arguments { STANDIN_PROGRAM, "engine", "--port", std::to_string(m_settings.basePort + enginePortOffset + number), "--name", name, "--slots", std::to_string(m_settings.engineSlots) };
    arguments.insert(arguments.end(), m_settings.engineOptions.begin(), m_settings.engineOptions.end());
    m_engines[number] = startProcess(arguments, {}, m_logFolder + "/" + name + ".log");
    listEndpoint(name, "engine", "summary-model", engineUrl(number), zoneOf(number));
}

void cluster::startLedger(int number)
{
    const std::string name = "ledger-" + std::to_string(number);
    m_ledgers[number] = startProcess({ STANDIN_PROGRAM, "service", "--port", std::to_string(m_settings.basePort + ledgerPortOffset + number), "--name", name }, {}, m_logFolder + "/" + name + ".log");
    listEndpoint(name, "service", "ledger", ledgerUrl(number), zoneOf(number));
}

std::string cluster::nodeUrl(int number) const { return loopbackUrl(m_settings.basePort + nodePortOffset + number); }
std::string cluster::tableUrl() const { return loopbackUrl(m_settings.basePort); }
std::string cluster::cloudUrl() const { return loopbackUrl(m_settings.basePort + 1); }
std::string cluster::engineUrl(int number) const { return loopbackUrl(m_settings.basePort + enginePortOffset + number); }
std::string cluster::ledgerUrl(int number) const { return loopbackUrl(m_settings.basePort + ledgerPortOffset + number); }

json cluster::control(const std::string& url, const json& change) const
{
    return json::parse(call("POST", url + "/control", change.dump()).body, nullptr, false);
}

http_answer cluster::propose(int number, const json& change, int timeLimitMilliseconds) const
{
    return call("POST", nodeUrl(number) + "/operator/v1/changes", change.dump(), { { "Authorization", "Bearer " + std::string(operatorKey) } }, timeLimitMilliseconds);
}

json cluster::status(int number) const
{
    constexpr int statusTimeLimitMs = 1000;
    const http_answer answer = call("GET", nodeUrl(number) + "/operator/v1/status", "", { { "Authorization", "Bearer " + std::string(operatorKey) } }, statusTimeLimitMs);
    return answer.status == 200 ? json::parse(answer.body, nullptr, false) : json();
}

int64_t cluster::configurationVersion(int number) const
{
    const json page = status(number);
    return page.is_object() ? page["configuration_version"].get<int64_t>() : -1;
}

void cluster::listEndpoint(const std::string& id, const std::string& role, const std::string& service, const std::string& url, const std::string& zone, bool isLeaving, const std::string& version) const
{
    json instance {
        { "id", id },
        { "role", role },
        { "service", service },
        { "version", version },
        { "address", url.substr(7) },
        { "zone", zone },
        { "region", "midlands" },
        { "price_per_hour_micro", 900000 },
        { "slots", m_settings.engineSlots },
        { "state", isLeaving ? "leaving" : "running" },
    };
    control(cloudUrl(), { { "set", json::array({ instance }) } });
}

bool cluster::waitFor(const std::string& url, int milliseconds) const
{
    constexpr int attemptTimeLimitMs = 500;
    return waitUntil(milliseconds, [&url] { return call("GET", url, "", {}, attemptTimeLimitMs).status == 200; });
}

bool cluster::waitForVersion(int64_t version, int milliseconds) const
{
    return waitUntil(milliseconds, [this, version] {
        for (int number = 1; number <= m_settings.nodes; ++number) {
            if (configurationVersion(number) < version)
                return false;
        }
        return true;
    });
}

std::string cluster::logText(const std::string& name) const
{
    std::ostringstream text;
    text << std::ifstream(m_logFolder + "/" + name + ".log").rdbuf();
    return text.str();
}

std::map<std::string, uint64_t> cluster::ledgerRuns() const
{
    std::map<std::string, uint64_t> total;
    for (int number = 1; number <= m_settings.ledgers; ++number) {
        const json page = control(ledgerUrl(number), json::object());
        if (!page.is_object())
            continue;
        for (const auto& [key, runs] : page["runs"].items())
            total[key] += runs.get<uint64_t>();
    }
    return total;
}

void cluster::configure()
{
    waitFor(nodeUrl(1) + "/healthz");
    const json classes[] = {
        { { "name", "inspection-summary" }, { "work", "model" }, { "service", "summary-model" } },
        { { "name", "crate-release" }, { "work", "service" }, { "service", "ledger" }, { "idempotent", false }, { "answer_ms", 5000 } },
        { { "name", "stock-lookup" }, { "work", "service" }, { "service", "ledger" }, { "answer_ms", 2000 } },
    };
    for (const json& requestClass : classes)
        propose(1, { { "kind", "class" }, { "body", requestClass } });
    m_accountKey = Configuration::generateKey();
    const json account { { "name", "depot-east" }, { "key_digest", Configuration::digestKey(m_accountKey) } };
    propose(1, { { "kind", "account" }, { "body", account } });
    waitForVersion(4, 10000);
    for (int number = 1; number <= m_settings.nodes; ++number)
        waitFor(nodeUrl(number) + "/readyz");
}

} // namespace Harness
