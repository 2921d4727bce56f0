#pragma once

/// @file
/// Requests that bring down each endpoint that runs them, sent to a fleet of gateways again and again.

#include "Platform/GatewayFleet.h"

namespace PlatformTests {

using std::chrono::milliseconds;

/// Three endpoints that go down, and three requests that arrive until all nodes know it.
constexpr size_t maxArrivals = 6;
constexpr size_t endpointCount = 20;
constexpr int requestCount = 10;
constexpr milliseconds requestInterval { 250 };
constexpr int timeBudgetMs = 300;
constexpr int longTimeBudgetMs = 1400;

inline const std::string crashing = "c0ffee";
inline const std::string wholeStream = streamHead + chunk("id: 1\ndata: all\n\n") + "0\r\n\r\n";
inline const std::string begunStream = streamHead + chunk("id: 1\ndata: ");
inline const std::string streamWithEvent = streamHead + chunk("id: 1\ndata: a\n\n");
inline const std::string begunAnswer = answerHead + "Content-Length: 5\r\n\r\nhe";

enum class restart {
    None,
    One, ///< Of the nodes, after the requests have been recognised.
    All,
};

struct shape {
    const char* condition;
    const char* route;
    bool hasPrompt; ///< Only a shared part of its prompt is the same each time, otherwise path and body are.
    const char* body;
    std::string bytes; ///< What an endpoint sends before it ends.
    answer_end end;
    size_t nodes { 1 };
    restart restarted { restart::None };
};

inline std::string promptLines(const std::string& part, int number)
{
    return "X-Filbertreel-Model: m\r\nX-Filbertreel-Token-Counts: 950,20\r\nX-Filbertreel-Prompt-Prefix: 5c:800," + part + ":100," + std::to_string(1000 + number) + ":50\r\n";
}

/// @param name of the request's path, or of its shared prompt part.
inline std::string makeRequestOf(const shape& item, const std::string& name, int number)
{
    const std::string target = item.route + (item.hasPrompt ? "x" : name);
    const std::string body = item.hasPrompt ? std::to_string(number) : item.body;
    const int budget = item.end == answer_end::GoDownLate ? longTimeBudgetMs : timeBudgetMs;
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Filbertreel-Attempt-Id: id" + std::to_string(number) + "\r\nX-Filbertreel-Time-Budget: " + std::to_string(budget)
        + "\r\nAuthorization: Bearer k1\r\n" + (item.hasPrompt ? promptLines(name, number) : "") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string answerFrom(const gateway_fleet& fleet, size_t node, const std::string& request)
{
    raw_caller caller(fleet.port(node));
    caller.send(request);
    return caller.receive();
}

inline bool isStream(const shape& item)
{
    return std::string(item.route) == "/stream/" || std::string(item.route) == "/resume/";
}

inline std::vector<std::vector<scripted_answer>> scriptsFor(const shape& item)
{
    const scripted_answer sound { isStream(item) ? wholeStream : completeAnswer };
    return std::vector<std::vector<scripted_answer>>(endpointCount, { sound, { item.bytes, item.end, {}, crashing } });
}

/// Sends the crashing request again and again, at one node after the other.
/// @return the last answer.
inline std::string sendRepeatedly(gateway_fleet& fleet, const shape& item, int count)
{
    std::string last;
    for (int number = 0; number < count; ++number) {
        last = answerFrom(fleet, static_cast<size_t>(number) % item.nodes, makeRequestOf(item, crashing, number));
        fleet.sendListing();
        std::this_thread::sleep_for(requestInterval);
    }
    return last;
}

inline void restartNodes(gateway_fleet& fleet, const shape& item)
{
    if (item.restarted == restart::One)
        fleet.restart({ 0 });
    if (item.restarted != restart::All)
        return;
    std::vector<size_t> all;
    for (size_t node = 0; node < item.nodes; ++node)
        all.push_back(node);
    fleet.restart(all);
}

/// @return what was not as it must be; empty if all was.
inline std::string playShape(const shape& item)
{
    gateway_fleet fleet(item.nodes, scriptsFor(item));
    std::string problems;
    std::string last = sendRepeatedly(fleet, item, requestCount);
    const size_t arrived = fleet.arrivalsWith(crashing);
    if (arrived < 3 || arrived > maxArrivals)
        problems += " " + std::to_string(arrived) + " arrived;";
    if (item.restarted != restart::None) {
        restartNodes(fleet, item);
        last = sendRepeatedly(fleet, item, requestCount);
    }
    const size_t arrivedAgain = fleet.arrivalsWith(crashing) - arrived;
    if (arrivedAgain > 0)
        problems += " " + std::to_string(arrivedAgain) + " arrived after the restart;";
    if (statusOf(last) != 503 || last.find("Retry-After: ") == std::string::npos)
        problems += " the last got " + std::to_string(statusOf(last)) + ";";
    for (int number = 0; number < 6; ++number) {
        const int status = statusOf(answerFrom(fleet, static_cast<size_t>(number) % item.nodes, makeRequestOf(item, "5" + std::to_string(number), number)));
        if (status != 200)
            problems += " another got " + std::to_string(status) + ";";
    }
    return problems;
}

} // namespace PlatformTests
