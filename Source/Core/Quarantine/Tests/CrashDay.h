#pragma once

/// @file
/// A day on a virtual clock on which requests that belong together crash every endpoint that runs them.

#include "Common/Random.h"
#include "Quarantine/RequestQuarantine.h"

#include <algorithm>
#include <map>
#include <string>

namespace CrashDays {
using namespace Quarantine;

constexpr int contactMs = 4000;
constexpr int crashStartMs = 15000;
constexpr int endpointCount = 10;
constexpr int endpointReturnMs = 4000;
constexpr int restartMs = 35000;
constexpr int soundAnswerMs = 400;
constexpr int downCheckMs = 100;
constexpr int callerTries = 3;
constexpr int callerRetryMs = 500;
constexpr int refreshMs = 250;

inline Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

enum class restarted_nodes {
    None,
    One,
    Half,
    All,
};

struct day_plan {
    size_t nodes;
    double tornShare; ///< Of the sound answers that an endpoint breaks off while it stays up.
    double crashingPerSecond;
    double soundPerSecond;
    double otherCrashesPerSecond { 0 }; ///< Of endpoints, under no part in particular.
    size_t soundParts { 40 };
    int crashAfterMs { 100 }; ///< Since a crashing request began.
    restarted_nodes restarted { restarted_nodes::None };
    int dayMs { 50000 };
    bool isPlain { false }; ///< Sound requests have no prompt; their callers send them up to callerTries times.
    double sameRequestShare { 0 }; ///< Of the plain requests that are one and the same.
};

struct day_result {
    int crashes { 0 };
    int sentLate { 0 }; ///< Requests with the part that were sent later than contactMs after the fifth crash.
    int fifthCrashMs { 0 };
    int causedCrashes { 0 }; ///< By requests with the part.
    int thirdCrashMs { 0 }; ///< Of those.
    int sentAfterThird { 0 }; ///< Requests with the part that were sent later than contactMs after the third crash.
    int soundBefore { 0 }; ///< Sound requests that began at the first attempt before the first crash.
    int soundAfter { 0 }; ///< The same from 2 contactMs after the fifth crash.
    int quarantinedSoundParts { 0 };
    int soundArrived { 0 };
    int soundRefused { 0 }; ///< Because of a quarantined part.
};

struct modelled_endpoint {
    int started { 0 };
    int upFrom { 0 };
};

struct running_request {
    size_t node;
    size_t endpoint;
    int started; ///< Of the endpoint.
    int sentMs;
    bool isCrashing;
    bool isRetry;
    bool isTrial;
    std::vector<fingerprint> fingerprints;
    int callerTry { 1 };
};

struct delivery {
    size_t from;
    size_t to;
    quarantine_statement statement;
};

inline const Common::service_name service { "s" };
inline const fingerprint crashingPart { 99 };

/// Nodes, endpoints and requests on a clock that advances by one millisecond.
struct crash_day {
    day_plan plan;
    Common::random_source random { 5 };
    std::vector<quarantine_state> nodes;
    std::vector<modelled_endpoint> endpoints { endpointCount };
    std::multimap<int, running_request> sentAgain; ///< By the time at which the caller sends it again.
    uint64_t lastPlain { 1000000 }; ///< Fingerprint of the newest plain request.
    std::multimap<int, running_request> ends; ///< By the time at which the response ends or breaks off.
    std::multimap<int, std::pair<size_t, unanswered_request>> checks;
    std::multimap<int, delivery> deliveries;
    std::map<fingerprint, stored_quarantine> stored; ///< As in the platform's store.
    std::set<fingerprint> refusedSound;
    day_result result;
    int nowMs { 0 };

    explicit crash_day(const day_plan& plan)
        : plan(plan)
        , nodes(plan.nodes)
    {
        for (size_t node = 0; node < plan.nodes; ++node)
            startNode(node);
    }

    void startNode(size_t node)
    {
        nodes[node] = {};
        nodes[node].self = nameOf(node);
        nodes[node].history.endpoints[service] = endpointCount;
        for (size_t peer = 0; peer < plan.nodes; ++peer) {
            if (peer != node)
                nodes[node].peers.insert(nameOf(peer));
        }
        std::vector<stored_quarantine> items;
        for (const auto& [subject, item] : stored)
            items.push_back(item);
        applyStored(nodes[node], items, at(nowMs));
    }

    void restartNodes()
    {
        size_t count = plan.restarted == restarted_nodes::None ? 0 : 1;
        if (plan.restarted == restarted_nodes::Half)
            count = plan.nodes / 2;
        if (plan.restarted == restarted_nodes::All)
            count = plan.nodes;
        for (size_t node = 0; node < count; ++node)
            startNode(node);
    }

    static Common::node_id nameOf(size_t node)
    {
        return { "n" + std::to_string(node) };
    }

    size_t choose(size_t count)
    {
        return Common::uniformBelow(random, static_cast<uint32_t>(count));
    }

    bool happens(double share)
    {
        return Common::uniformUnit(random) < share;
    }

    std::optional<size_t> chooseUp()
    {
        const size_t first = choose(endpointCount);
        for (size_t offset = 0; offset < endpointCount; ++offset) {
            const size_t endpoint = (first + offset) % endpointCount;
            if (endpoints[endpoint].upFrom <= nowMs)
                return endpoint;
        }
        return {};
    }

    size_t countUp() const
    {
        return static_cast<size_t>(std::count_if(endpoints.begin(), endpoints.end(), [this](const modelled_endpoint& endpoint) { return endpoint.upFrom <= nowMs; }));
    }

    void send(running_request request)
    {
        const std::optional<size_t> endpoint = chooseUp();
        if (!endpoint)
            return;
        request.endpoint = *endpoint;
        request.started = endpoints[*endpoint].started;
        request.sentMs = nowMs;
        if (request.isCrashing && result.crashes >= 5 && nowMs > result.fifthCrashMs + contactMs)
            ++result.sentLate;
        if (request.isCrashing && result.causedCrashes >= 3 && nowMs > result.thirdCrashMs + contactMs)
            ++result.sentAfterThird;
        if (!request.isCrashing && !request.isRetry)
            countBegun();
        ends.emplace(nowMs + (request.isCrashing ? plan.crashAfterMs : soundAnswerMs), std::move(request));
    }

    void countBegun()
    {
        if (nowMs < crashStartMs)
            ++result.soundBefore;
        if (result.crashes >= 5 && nowMs >= result.fifthCrashMs + 2 * contactMs)
            ++result.soundAfter;
    }

    void arrive(bool isCrashing)
    {
        const fingerprint first { choose(4) };
        running_request request {};
        request.node = choose(plan.nodes);
        request.isCrashing = isCrashing;
        request.fingerprints = { first, isCrashing ? crashingPart : fingerprint { 100 + choose(plan.soundParts) } };
        if (plan.isPlain && !isCrashing)
            request.fingerprints = { { happens(plan.sameRequestShare) ? 1 : ++lastPlain } };
        admit(std::move(request));
    }

    void admit(running_request request)
    {
        const bool isCrashing = request.isCrashing;
        const quarantine_verdict verdict = judgeRequest(nodes[request.node], request.fingerprints, at(nowMs));
        if (!isCrashing)
            countSound(request, verdict.refusedFor.has_value());
        request.isTrial = verdict.isTrial;
        if (!verdict.refusedFor)
            send(std::move(request));
    }

    void countSound(const running_request& request, bool isRefused)
    {
        ++result.soundArrived;
        if (!isRefused)
            return;
        ++result.soundRefused;
        refusedSound.insert(request.fingerprints.back());
    }

    void end(const running_request& request)
    {
        modelled_endpoint& endpoint = endpoints[request.endpoint];
        const bool isUp = endpoint.started == request.started;
        if (isUp && request.isCrashing) {
            crash(endpoint);
            if (++result.causedCrashes == 3)
                result.thirdCrashMs = nowMs;
        }
        const bool isBroken = request.isCrashing || !isUp || happens(plan.tornShare);
        if (!isBroken)
            return recordAnswer(nodes[request.node], request.fingerprints, at(nowMs));
        const unanswered_request response { { { std::to_string(request.endpoint) }, { request.started } }, service, request.fingerprints, at(nowMs), milliseconds(nowMs - request.sentMs) };
        checks.emplace(nowMs + downCheckMs, std::pair(request.node, response));
        if (request.isRetry || !maySendElsewhere(nodes[request.node], request.fingerprints, true, request.isTrial, at(nowMs)))
            return letCallerTryAgain(request);
        running_request repeated = request;
        repeated.isRetry = true;
        send(std::move(repeated));
    }

    void letCallerTryAgain(const running_request& request)
    {
        if (!plan.isPlain || request.isCrashing || request.callerTry >= callerTries)
            return;
        running_request again {};
        again.node = choose(plan.nodes);
        again.fingerprints = request.fingerprints;
        again.callerTry = request.callerTry + 1;
        sentAgain.emplace(nowMs + callerRetryMs, std::move(again));
    }

    void crash(modelled_endpoint& endpoint)
    {
        endpoint.started = nowMs;
        endpoint.upFrom = nowMs + endpointReturnMs;
        if (++result.crashes == 5)
            result.fifthCrashMs = nowMs;
    }

    void check(size_t node, const unanswered_request& response)
    {
        const bool isDown = endpoints[std::stoul(response.start.endpoint.value)].started != response.start.started.value;
        if (isDown)
            recordCrash(nodes[node], response, at(nowMs));
    }

    void deliverOutgoing(size_t node)
    {
        for (const outgoing_statement& item : nodes[node].outgoing) {
            for (size_t to = 0; to < plan.nodes; ++to) {
                if (to != node && (!item.receiver || *item.receiver == nameOf(to)))
                    deliveries.emplace(nowMs + 1 + static_cast<int>(choose(150)), delivery { node, to, item.statement });
            }
        }
        for (const stored_quarantine& item : std::exchange(nodes[node].unstored, {})) {
            if (item.isRemoved)
                stored.erase(item.subject);
            else
                stored[item.subject] = item;
        }
        nodes[node].outgoing.clear();
        nodes[node].events.clear();
    }

    template <typename item_type, typename handler_type>
    void handleDue(std::multimap<int, item_type>& items, const handler_type& handler)
    {
        while (!items.empty() && items.begin()->first <= nowMs) {
            const item_type item = items.begin()->second;
            items.erase(items.begin());
            handler(item);
        }
    }

    day_result play()
    {
        for (nowMs = 0; nowMs < plan.dayMs; ++nowMs) {
            if (nowMs == restartMs)
                restartNodes();
            if (happens(plan.soundPerSecond / 1000))
                arrive(false);
            if (nowMs >= crashStartMs && happens(plan.crashingPerSecond / 1000))
                arrive(true);
            const std::optional<size_t> unlucky = happens(plan.otherCrashesPerSecond / 1000) ? chooseUp() : std::nullopt;
            if (unlucky)
                crash(endpoints[*unlucky]);
            handleDue(sentAgain, [this](const running_request& request) { admit(request); });
            handleDue(ends, [this](const running_request& request) { end(request); });
            handleDue(checks, [this](const std::pair<size_t, unanswered_request>& item) { check(item.first, item.second); });
            handleDue(deliveries, [this](const delivery& item) { applyStatement(nodes[item.to], nameOf(item.from), item.statement, at(nowMs)); });
            for (size_t node = 0; node < plan.nodes; ++node) {
                if (nowMs % refreshMs == 0) {
                    nodes[node].history.endpoints[service] = countUp();
                    refresh(nodes[node], at(nowMs));
                }
                if (!nodes[node].outgoing.empty() || !nodes[node].unstored.empty())
                    deliverOutgoing(node);
            }
        }
        result.quarantinedSoundParts = static_cast<int>(refusedSound.size());
        return result;
    }
};

} // namespace CrashDays
