/// @file
/// Overhead of a node: the time it adds to the first token, compared with calling the engine directly, and its CPU time
/// per relayed token and memory per stream.

#include "Harness/Cluster.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace Harness;
using steady = std::chrono::steady_clock;

struct open_request {
    steady::time_point sentAt;
    double firstTokenSeconds { -1 };
};

struct load_result {
    std::vector<double> firstTokenSeconds;
    uint64_t bytes { 0 };
    uint64_t tokens { 0 };
    uint64_t failed { 0 };
};

uint64_t countEvents(std::string_view bytes)
{
    constexpr std::string_view mark = "\"content\"";
    uint64_t count = 0;
    for (size_t at = bytes.find(mark); at != std::string_view::npos; at = bytes.find(mark, at + mark.size()))
        ++count;
    return count;
}

/// Sends requests at a fixed rate, whether or not earlier ones have been answered (open loop).
/// @param perSecond requests per second.
/// @param seconds duration of the sending; answers are awaited 20 s longer.
/// @param tokens tokens to generate per request.
/// @return counts, and the times to the first token in ascending order.
load_result sendOpenLoop(const std::string& url, const std::string& key, const std::string& model, int perSecond, int seconds, int tokens)
{
    Http::client client;
    load_result result;
    const int total = perSecond * seconds;
    std::vector<open_request> requests(total);
    const nlohmann::json body { { "model", model }, { "stream", true }, { "max_tokens", tokens }, { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", "crates" } } }) } };
    const std::string text = body.dump();
    const auto startedAt = steady::now();
    int sent = 0;
    int ended = 0;
    const auto end = startedAt + std::chrono::seconds(seconds + 20);
    while (ended < total && steady::now() < end) {
        while (sent < total && steady::now() >= startedAt + std::chrono::microseconds(1000000LL * sent / perSecond)) {
            open_request& item = requests[sent++];
            item.sentAt = steady::now();
            Http::outgoing_request request;
            request.method = "POST";
            request.url = url + "/v1/chat/completions";
            request.headers = { { "Authorization", "Bearer " + key } };
            request.body = text;
            client.start(
                std::move(request),
                [&](Http::transfer_answer&& answer) {
                    ++ended;
                    result.failed += answer.status == 200 ? 0 : 1;
                },
                [&item, &result](long, std::string_view bytes) {
                    const uint64_t events = countEvents(bytes);
                    result.tokens += events;
                    result.bytes += bytes.size();
                    if (item.firstTokenSeconds < 0 && events > 0)
                        item.firstTokenSeconds = std::chrono::duration<double>(steady::now() - item.sentAt).count();
                });
        }
        client.poll(std::chrono::milliseconds(1));
    }
    for (const open_request& item : requests) {
        if (item.firstTokenSeconds >= 0)
            result.firstTokenSeconds.push_back(item.firstTokenSeconds);
    }
    std::sort(result.firstTokenSeconds.begin(), result.firstTokenSeconds.end());
    return result;
}

double quantile(const std::vector<double>& sorted, double share)
{
    return sorted.empty() ? -1 : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

double readMetric(const cluster& target, const std::string& name)
{
    const std::string page = call("GET", target.nodeUrl(1) + "/metrics", "").body;
    const size_t at = page.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::strtod(page.c_str() + at + name.size() + 2, nullptr);
}

void measureFirstToken()
{
    cluster_settings settings;
    settings.basePort = 29000;
    settings.nodes = 1;
    settings.engines = 1;
    settings.engineSlots = 400;
    settings.engineOptions = { "--token-ms", "5", "--prefill-ms", "5" };
    cluster target(settings);
    target.start();
    constexpr int perSecond = 200;
    constexpr int seconds = 8;
    const load_result direct = sendOpenLoop(target.engineUrl(1), "", "summary-model", perSecond, seconds, 4);
    const load_result through = sendOpenLoop(target.nodeUrl(1), target.accountKey(), "inspection-summary", perSecond, seconds, 4);
    nlohmann::ordered_json line { { "benchmark", "first_token_at_200_per_s" } };
    for (const double share : { 0.5, 0.95 }) {
        const std::string name = share < 0.9 ? "p50" : "p95";
        line["direct_" + name + "_ms"] = 1000 * quantile(direct.firstTokenSeconds, share);
        line["through_node_" + name + "_ms"] = 1000 * quantile(through.firstTokenSeconds, share);
        line["added_" + name + "_ms"] = 1000 * (quantile(through.firstTokenSeconds, share) - quantile(direct.firstTokenSeconds, share));
    }
    line["failed"] = direct.failed + through.failed;
    std::cout << line.dump() << std::endl;
}

void measureRelay(int streams, int tokenMilliseconds)
{
    cluster_settings settings;
    settings.basePort = 29000;
    settings.nodes = 1;
    settings.engines = 3;
    settings.nodeOptions = { "--max-in-flight", "20000" };
    settings.engineSlots = 1000;
    settings.engineOptions = { "--token-ms", std::to_string(tokenMilliseconds) };
    cluster target(settings);
    target.start();
    constexpr int seconds = 4;
    constexpr int holdSeconds = 10;
    const int tokens = holdSeconds * 1000 / tokenMilliseconds;
    const double residentIdle = readMetric(target, "process_resident_memory_bytes");
    double cpuBefore = 0;
    double cpuAfter = 0;
    double tokensBefore = 0;
    double tokensAfter = 0;
    double residentBusy = 0;
    std::thread sampler([&] {
        std::this_thread::sleep_for(std::chrono::seconds(seconds + 1));
        cpuBefore = readMetric(target, "process_cpu_seconds_total");
        tokensBefore = readMetric(target, "filbertreel_tokens_generated");
        std::this_thread::sleep_for(std::chrono::seconds(4));
        residentBusy = readMetric(target, "process_resident_memory_bytes");
        cpuAfter = readMetric(target, "process_cpu_seconds_total");
        tokensAfter = readMetric(target, "filbertreel_tokens_generated");
    });
    const load_result result = sendOpenLoop(target.nodeUrl(1), target.accountKey(), "inspection-summary", streams / seconds, seconds, tokens);
    sampler.join();
    const double cpu = cpuAfter - cpuBefore;
    const double relayed = tokensAfter - tokensBefore;
    nlohmann::ordered_json line {
        { "benchmark", "relay" },
        { "streams", streams },
        { "tokens_per_s", relayed / 4 },
        { "cores", cpu / 4 },
        { "cpu_us_per_token", 1e6 * cpu / relayed },
        { "resident_idle_mb", residentIdle / 1e6 },
        { "resident_per_stream_kb", (residentBusy - residentIdle) / 1e3 / streams },
        { "failed", result.failed },
    };
    std::cout << line.dump() << std::endl;
}

} // namespace

int main()
{
    measureFirstToken();
    measureRelay(100, 10);
    measureRelay(400, 20);
    measureRelay(1000, 20);
    return 0;
}
