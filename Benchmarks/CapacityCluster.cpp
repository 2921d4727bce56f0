/// @file
/// Runs clusters of idle nodes on loopback and reads the cost of control traffic per node from the nodes' own metrics:
/// CPU time, memory, and bytes to peers, to the cloud, to engines and to the table service.

#include "Harness/Callers.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>

namespace {

using namespace Harness;

struct node_sample {
    double cpuSeconds { 0 };
    double residentBytes { 0 };
    double peerBytes { 0 };
    double peerMessages { 0 };
    double cloudBytes { 0 };
    double loadBytes { 0 };
    double tableBytes { 0 };
    double tableReads { 0 };
    double tableWrites { 0 };
    double members { 0 };
};

double readMetric(const std::string& page, const std::string& name)
{
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " "))
            return std::strtod(line.c_str() + name.size() + 1, nullptr);
    }
    return 0;
}

node_sample sampleNode(const cluster& target, int number)
{
    const std::string page = call("GET", target.nodeUrl(number) + "/metrics", "").body;
    node_sample sample;
    sample.cpuSeconds = readMetric(page, "process_cpu_seconds_total");
    sample.residentBytes = readMetric(page, "process_resident_memory_bytes");
    sample.peerBytes = readMetric(page, "filbertreel_peer_bytes_sent_total") + readMetric(page, "filbertreel_peer_bytes_received_total");
    sample.peerMessages = readMetric(page, "filbertreel_peer_messages_sent_total");
    sample.cloudBytes = readMetric(page, "filbertreel_control_bytes_total{peer=\"cloud\"}");
    sample.loadBytes = readMetric(page, "filbertreel_control_bytes_total{peer=\"load\"}");
    sample.tableBytes = readMetric(page, "filbertreel_control_bytes_total{peer=\"table\"}");
    sample.tableReads = readMetric(page, "filbertreel_table_reads_total");
    sample.tableWrites = readMetric(page, "filbertreel_table_writes_total");
    sample.members = readMetric(page, "filbertreel_members_known");
    return sample;
}

double mean(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

/// Measures how long a configuration change takes to reach all nodes.
/// @return seconds, or -1 when a node did not have it within the time limit.
double measureChange(const cluster& target)
{
    const int64_t version = target.configurationVersion(1) + 1;
    const auto startedAt = std::chrono::steady_clock::now();
    target.propose(1, { { "kind", "class" }, { "body", { { "name", "probe" }, { "service", "m" } } } });
    constexpr int timeLimitMs = 60000;
    const bool isEverywhere = target.waitForVersion(version, timeLimitMs);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    return isEverywhere ? seconds : -1;
}

void measureCluster(int nodes, int engines, int seconds)
{
    cluster_settings settings;
    settings.basePort = 28000;
    settings.nodes = nodes;
    settings.engines = engines;
    settings.ledgers = 3;
    cluster target(settings);
    target.start();
    std::this_thread::sleep_for(std::chrono::seconds(8));
    std::vector<node_sample> before;
    for (int number = 1; number <= nodes; ++number)
        before.push_back(sampleNode(target, number));
    const auto startedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    std::vector<node_sample> after;
    for (int number = 1; number <= nodes; ++number)
        after.push_back(sampleNode(target, number));
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    const auto rate = [&](double node_sample::*member) {
        std::vector<double> rates;
        for (int index = 0; index < nodes; ++index)
            rates.push_back((after[index].*member - before[index].*member) / elapsed);
        return mean(rates);
    };
    std::vector<double> resident;
    std::vector<double> members;
    for (const node_sample& sample : after) {
        resident.push_back(sample.residentBytes);
        members.push_back(sample.members);
    }
    nlohmann::ordered_json line {
        { "nodes", nodes },
        { "engines", engines },
        { "members_known_least", *std::min_element(members.begin(), members.end()) },
        { "cpu_percent_of_core", 100 * rate(&node_sample::cpuSeconds) },
        { "resident_mb", mean(resident) / 1e6 },
        { "peer_bytes_per_s", rate(&node_sample::peerBytes) },
        { "peer_messages_sent_per_s", rate(&node_sample::peerMessages) },
        { "load_bytes_per_s", rate(&node_sample::loadBytes) },
        { "cloud_bytes_per_s", rate(&node_sample::cloudBytes) },
        { "table_bytes_per_s", rate(&node_sample::tableBytes) },
        { "table_reads_per_s", rate(&node_sample::tableReads) },
        { "table_writes_per_s", rate(&node_sample::tableWrites) },
    };
    line["change_everywhere_s"] = measureChange(target);
    std::cout << line.dump() << std::endl;
}

/// Prints the reads and writes that the table service counts per request, for each kind of request. The reads of idle
/// nodes in the same time are subtracted.
void measureStoreCost()
{
    constexpr int count = 100;
    cluster_settings settings;
    settings.basePort = 28000;
    cluster target(settings);
    target.start();
    const auto counters = [&target] { return target.control(target.tableUrl(), nlohmann::json::object()); };
    const auto measureKind = [&](const std::string& kind, const std::function<void(int)>& request) {
        const auto before = counters();
        const auto startedAt = std::chrono::steady_clock::now();
        for (int index = 0; index < count; ++index)
            request(index);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        const auto after = counters();
        const double idleReads = 0.2 * settings.nodes * std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
        const double writes = after["writes"].get<double>() - before["writes"].get<double>();
        const double reads = after["reads"].get<double>() - before["reads"].get<double>();
        std::cout << nlohmann::ordered_json { { "kind", kind }, { "writes_each", writes / count }, { "reads_each", (reads - idleReads) / count } }.dump() << std::endl;
    };
    measureKind("release", [&](int index) { releaseCrates(target, "k" + std::to_string(index), "{}", 1 + index % 3, 1); });
    measureKind("repeated release", [&](int index) { releaseCrates(target, "k" + std::to_string(index), "{}", 1 + (index + 1) % 3, 1); });
    measureKind("summary", [&](int index) { streamChat(target, { "summary " + std::to_string(index), 4, 1 + index % 3, 10000, {} }); });
    measureKind("configuration change", [&](int index) {
        target.propose(1 + index % 3, { { "kind", "class" }, { "body", { { "name", "c" + std::to_string(index) }, { "service", "m" } } } });
    });
}

} // namespace

int main(int argc, char** argv)
{
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 15;
    measureStoreCost();
    for (int index = 2; index + 1 < argc; index += 2)
        measureCluster(std::atoi(argv[index]), std::atoi(argv[index + 1]), seconds);
    return 0;
}
