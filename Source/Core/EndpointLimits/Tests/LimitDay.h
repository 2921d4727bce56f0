#pragma once

/// @file
/// Nodes on a virtual clock that send requests to endpoints with a limit, and the messages between the nodes.

#include "Common/Random.h"
#include "EndpointLimits/SharedLimits.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>

#include <fmt/format.h>

namespace LimitDays {
using namespace EndpointLimits;

/// From this time after an endpoint first stated its limit, the limit holds.
constexpr int contactMs = 4000;
constexpr int windowMs = 4000;
constexpr int tellMs = 500; ///< After it has been told, a node's requests count.
constexpr int statedAtMs = 2000;
constexpr int dayMs = 26000;
constexpr int answerMs = 60;
constexpr int maxWaitMs = 400;
constexpr int nearMs = 5; ///< Between nodes of one zone.
constexpr int farMs = 60;
constexpr int envelopeBytes = 60; ///< Of a message between nodes, besides its items.
constexpr int itemBytes = 45; ///< Together they are checked by the tests of the peers' messages.

inline Common::instant at(int ms)
{
    return Common::instant(std::chrono::hours(1)) + milliseconds(ms);
}

enum class trouble {
    None,
    Joins, ///< A third more nodes join at troubleMs, half a second apart in the others' eyes.
    Dies, ///< A third of the nodes end at troubleMs; the others hear of it eight seconds later.
    Frozen, ///< A third of the nodes stand still from troubleMs for troubleTimeMs.
    CutOff, ///< A third of the nodes exchange no messages from troubleMs for troubleTimeMs.
    Restarts, ///< All nodes start anew at troubleMs.
};

constexpr int troubleMs = 14000;
constexpr int troubleTimeMs = 4000;
constexpr int removalMs = 8000;
constexpr int joinSpreadMs = 500;
constexpr int warmAtMs = statedAtMs + 12000;
constexpr int listingSpreadMs = 400; ///< Between the first and the last node that learns of an endpoint.

struct day_plan {
    const char* condition;
    size_t nodes;
    size_t endpoints;
    double limit; ///< Of each endpoint.
    double demand; ///< Of all nodes for each endpoint, in limits.
    double spread { 1 }; ///< The callers of the busiest node, in those of the least busy one.
    trouble what { trouble::None };
    bool isOneNodeFirst { false }; ///< One node hears of the limits half a second before the others.
    size_t busyNodes { 0 }; ///< Only so many have callers; zero: all.
    /// If set, the endpoints state no limit; they appear at statedAtMs and are cold until warmAtMs.
    std::optional<cold_bound> cold {};
};

struct day_result {
    double mostOverAllowed { 0 }; ///< Highest number of counted arrivals in a window, less what is allowed.
    double used { 0 }; ///< Share of the limits that was used after contactMs, while there was no trouble.
    size_t mostInOneSecond { 0 }; ///< At an endpoint while it is cold.
    double usedWhileCold { 0 }; ///< Requests per second and endpoint.
    double mostBytesPerSecond { 0 }; ///< Of the node that sends and receives most, over the day after contactMs.
};

struct arrival {
    int ms { 0 };
    size_t node { 0 };
};

struct sim_message {
    size_t from { 0 };
    size_t to { 0 };
    limit_message message;
};

struct sim_node {
    shared_limits state;
    double perMs { 0 }; ///< Requests.
    bool isUp { true };
    int frozenUntil { 0 };
    int joinsAt { 0 };
    size_t bytes { 0 };
    std::vector<int> waitEnds; ///< Of requests that wait for an owner.
    std::map<size_t, int> toldAt; ///< By endpoint.
};

/// Plays a day of requests.
class limit_day {
public:
    explicit limit_day(const day_plan& plan)
        : m_plan(plan)
        , m_random(plan.nodes * 1000 + plan.endpoints)
        , m_arrivals(plan.endpoints)
    {
        const size_t joining = plan.what == trouble::Joins ? plan.nodes / 3 + 1 : 0;
        m_nodes.resize(plan.nodes + joining);
        double weights = 0;
        const size_t busy = plan.busyNodes > 0 ? plan.busyNodes : m_nodes.size();
        for (size_t node = 0; node < m_nodes.size(); ++node) {
            sim_node& item = m_nodes[node];
            item.state.self = idOf(node);
            item.joinsAt = node < plan.nodes ? 0 : troubleMs;
            item.isUp = node < plan.nodes;
            item.perMs = node < busy ? std::pow(plan.spread, m_nodes.size() > 1 ? static_cast<double>(node) / static_cast<double>(m_nodes.size() - 1) : 0) : 0;
            weights += item.perMs;
        }
        const double requestsPerMs = plan.demand * plan.limit * static_cast<double>(plan.endpoints) / 1000;
        for (sim_node& item : m_nodes)
            item.perMs *= requestsPerMs / weights;
        updatePeers(0, 0);
    }

    day_result play()
    {
        for (int ms = 0; ms < dayMs; ++ms) {
            applyTrouble(ms);
            deliver(ms);
            for (size_t node = 0; node < m_nodes.size(); ++node) {
                if (m_plan.cold && ms == listedAt(node))
                    learnOfColdEndpoints(node, ms);
                if (isActive(node, ms) && (!m_plan.cold || ms >= listedAt(node)))
                    sendRequests(node, ms);
            }
        }
        return evaluate();
    }

private:
    static Common::node_id idOf(size_t node) { return { "n" + std::to_string(node) }; }

    static endpoint_start startOf(size_t endpoint) { return { { "e" + std::to_string(endpoint) }, { 1 } }; }

    bool isTroubled(size_t node) const { return node % 3 == 0; }

    bool isActive(size_t node, int ms) const { return m_nodes[node].isUp && ms >= m_nodes[node].frozenUntil; }

    int listedAt(size_t node) const { return statedAtMs + static_cast<int>(node * listingSpreadMs / m_nodes.size()); }

    void learnOfColdEndpoints(size_t node, int ms)
    {
        for (size_t endpoint = 0; endpoint < m_plan.endpoints; ++endpoint)
            recordWarmUp(m_nodes[node].state.warmUps, startOf(endpoint), milliseconds(warmAtMs - ms), coldTokenRate(*m_plan.cold), at(ms));
    }

    bool isCut(size_t node, int ms) const
    {
        return m_plan.what == trouble::CutOff && isTroubled(node) && ms >= troubleMs && ms < troubleMs + troubleTimeMs;
    }

    /// Tells a node which others are listed.
    void updatePeers(size_t node, int ms)
    {
        for (size_t receiver = node; receiver < m_nodes.size(); ++receiver) {
            std::set<Common::node_id> peers;
            for (size_t peer = 0; peer < m_nodes.size(); ++peer) {
                const bool isListed = ms >= m_nodes[peer].joinsAt && !(m_plan.what == trouble::Dies && isTroubled(peer) && ms >= troubleMs + removalMs);
                if (peer != receiver && isListed)
                    peers.insert(idOf(peer));
            }
            m_nodes[receiver].state.peers = std::move(peers);
            if (node > 0)
                return;
        }
    }

    void applyTrouble(int ms)
    {
        if (m_plan.what == trouble::Joins && ms >= troubleMs && ms <= troubleMs + joinSpreadMs)
            learnOfJoins(ms);
        if (m_plan.what == trouble::Dies && ms == troubleMs + removalMs)
            updatePeers(0, ms);
        if (ms != troubleMs)
            return;
        for (size_t node = 0; node < m_nodes.size(); ++node) {
            sim_node& item = m_nodes[node];
            if (m_plan.what == trouble::Restarts) {
                const auto peers = item.state.peers;
                item.state = {};
                item.state.self = idOf(node);
                item.state.peers = peers;
                item.toldAt.clear();
            }
            if (m_plan.what == trouble::Dies && isTroubled(node))
                item.isUp = false;
            if (m_plan.what == trouble::Frozen && isTroubled(node))
                item.frozenUntil = troubleMs + troubleTimeMs;
        }
    }

    /// Nodes that were there hear of the new ones one after the other.
    void learnOfJoins(int ms)
    {
        for (size_t node = 0; node < m_nodes.size(); ++node) {
            const int learnsAt = m_nodes[node].joinsAt > 0 ? troubleMs : troubleMs + static_cast<int>(node * joinSpreadMs / m_nodes.size());
            if (learnsAt != ms)
                continue;
            m_nodes[node].isUp = true;
            std::set<Common::node_id> peers;
            for (size_t peer = 0; peer < m_nodes.size(); ++peer) {
                if (peer != node)
                    peers.insert(idOf(peer));
            }
            m_nodes[node].state.peers = std::move(peers);
        }
    }

    void collect(size_t node, int ms)
    {
        sim_node& sender = m_nodes[node];
        std::map<size_t, size_t> itemsTo;
        for (outgoing_message& item : sender.state.outgoing) {
            for (size_t receiver = 0; receiver < m_nodes.size(); ++receiver) {
                const bool isMeant = receiver != node && (item.receiver ? idOf(receiver) == *item.receiver : m_nodes[receiver].isUp);
                if (!isMeant)
                    continue;
                ++itemsTo[receiver];
                if (!isCut(node, ms) && !isCut(receiver, ms))
                    m_messages.emplace(ms + (node % 3 == receiver % 3 ? nearMs : farMs), sim_message { node, receiver, item.message });
            }
        }
        sender.state.outgoing.clear();
        if (ms < statedAtMs + contactMs)
            return;
        for (const auto& [receiver, items] : itemsTo) {
            const size_t bytes = envelopeBytes + itemBytes * items;
            sender.bytes += bytes;
            m_nodes[receiver].bytes += bytes;
        }
    }

    void deliver(int ms)
    {
        while (!m_messages.empty() && m_messages.begin()->first <= ms) {
            const sim_message item = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            sim_node& receiver = m_nodes[item.to];
            if (!receiver.isUp)
                continue;
            if (ms < receiver.frozenUntil) {
                m_messages.emplace(receiver.frozenUntil, item);
                continue;
            }
            if (applyMessage(receiver.state, idOf(item.from), item.message, at(ms)))
                placeWaiting(item.to, ms);
            collect(item.to, ms);
        }
        while (!m_answers.empty() && m_answers.begin()->first <= ms) {
            const auto [node, endpoint] = m_answers.begin()->second;
            m_answers.erase(m_answers.begin());
            if (!isActive(node, ms))
                continue;
            m_nodes[node].toldAt.try_emplace(endpoint, ms);
            stateLimit(m_nodes[node].state, startOf(endpoint), m_plan.limit, at(ms));
            collect(node, ms);
        }
    }

    void sendRequests(size_t node, int ms)
    {
        sim_node& sender = m_nodes[node];
        double expected = sender.perMs;
        while (expected > 0) {
            if (expected >= 1 || Common::uniformUnit(m_random) < expected)
                sendRequest(node, ms, ms + maxWaitMs);
            expected -= 1;
        }
    }

    /// Tries the endpoints in random order, as requests do that could be served by each.
    /// @return whether one of them takes the request.
    bool tryPlace(size_t node, int ms)
    {
        sim_node& sender = m_nodes[node];
        const size_t first = Common::uniformBelow(m_random, static_cast<uint32_t>(m_plan.endpoints));
        for (size_t tried = 0; tried < m_plan.endpoints; ++tried) {
            const size_t endpoint = (first + tried) % m_plan.endpoints;
            if (!maySend(sender.state, startOf(endpoint), at(ms))) {
                recordMissedToken(sender.state, startOf(endpoint));
                continue;
            }
            useToken(sender.state, startOf(endpoint), at(ms));
            m_arrivals[endpoint].push_back({ ms, node });
            if (!m_plan.cold && ms >= statedAtMs && (!m_plan.isOneNodeFirst || node == 0 || ms >= statedAtMs + tellMs))
                m_answers.emplace(ms + answerMs, std::pair { node, endpoint });
            return true;
        }
        return false;
    }

    /// A request that no endpoint takes waits while an owner has to answer.
    void sendRequest(size_t node, int ms, int waitEnd)
    {
        sim_node& sender = m_nodes[node];
        const bool isPlaced = tryPlace(node, ms) || (requestTokens(sender.state, at(ms)) && tryPlace(node, ms));
        collect(node, ms);
        if (isPlaced || ms >= waitEnd)
            return;
        for (size_t endpoint = 0; endpoint < m_plan.endpoints; ++endpoint) {
            if (isAwaitingGrant(sender.state, startOf(endpoint)))
                return sender.waitEnds.push_back(waitEnd);
        }
    }

    void placeWaiting(size_t node, int ms)
    {
        for (const int waitEnd : std::exchange(m_nodes[node].waitEnds, {})) {
            if (ms < waitEnd)
                sendRequest(node, ms, waitEnd);
        }
    }

    /// Requests of nodes that were told of the limit before.
    bool isCounted(size_t endpoint, const arrival& item) const
    {
        const auto told = m_nodes[item.node].toldAt.find(endpoint);
        return told != m_nodes[item.node].toldAt.end() && item.ms >= told->second + tellMs;
    }

    void evaluateColdTime(day_result& result) const
    {
        constexpr int secondMs = 1000;
        size_t count = 0;
        for (const std::vector<arrival>& arrivals : m_arrivals) {
            size_t first = 0;
            for (size_t last = 0; last < arrivals.size() && arrivals[last].ms < warmAtMs; ++last, ++count) {
                while (arrivals[last].ms - arrivals[first].ms >= secondMs)
                    ++first;
                result.mostInOneSecond = std::max(result.mostInOneSecond, last - first + 1);
            }
        }
        result.usedWhileCold = static_cast<double>(count) * secondMs / (warmAtMs - statedAtMs) / static_cast<double>(m_plan.endpoints);
    }

    day_result evaluate() const
    {
        day_result result;
        evaluateColdTime(result);
        const double allowed = 1.5 * m_plan.limit * windowMs / 1000 + 5;
        double used = 0;
        for (size_t endpoint = 0; endpoint < m_plan.endpoints; ++endpoint) {
            std::vector<int> counted;
            for (const arrival& item : m_arrivals[endpoint]) {
                const bool isCalm = item.ms >= statedAtMs + contactMs && item.ms < troubleMs;
                used += isCalm ? 1 : 0;
                if (item.ms >= statedAtMs + contactMs && isCounted(endpoint, item))
                    counted.push_back(item.ms);
            }
            size_t first = 0;
            for (size_t last = 0; last < counted.size(); ++last) {
                while (counted[last] - counted[first] >= windowMs)
                    ++first;
                result.mostOverAllowed = std::max(result.mostOverAllowed, static_cast<double>(last - first + 1) - allowed);
            }
        }
        const double calmSeconds = (troubleMs - statedAtMs - contactMs) / 1000.0;
        result.used = used / (m_plan.limit * calmSeconds * static_cast<double>(m_plan.endpoints));
        for (const sim_node& item : m_nodes)
            result.mostBytesPerSecond = std::max(result.mostBytesPerSecond, static_cast<double>(item.bytes) * 1000 / (dayMs - statedAtMs - contactMs));
        return result;
    }

    day_plan m_plan;
    Common::random_source m_random;
    std::vector<sim_node> m_nodes;
    std::vector<std::vector<arrival>> m_arrivals; ///< By endpoint.
    std::multimap<int, sim_message> m_messages;
    std::multimap<int, std::pair<size_t, size_t>> m_answers; ///< Node and endpoint.
};

constexpr double maxBytesPerSecond = 9000;
/// Of the limit that has to be used while there is more demand, by all nodes and if all demand is at one node.
constexpr double minUsed = 0.8;
constexpr double minUsedAtOneNode = 0.7;

/// @return what a day shows to be wrong; empty if nothing.
inline std::string findFailure(const day_plan& plan)
{
    const day_result result = limit_day(plan).play();
    const double wanted = plan.busyNodes == 1 ? minUsedAtOneNode : minUsed;
    const bool isKept = result.mostOverAllowed <= 0;
    // Of less than one request a second only whole requests can be used.
    const bool isUsed = plan.limit < 1 || result.used >= wanted;
    if (isKept && isUsed && result.mostBytesPerSecond <= maxBytesPerSecond)
        return {};
    return fmt::format("\n{}: {:.1f} over what is allowed, {:.2f} used, {:.0f} bytes/s", plan.condition, result.mostOverAllowed, result.used, result.mostBytesPerSecond);
}

} // namespace LimitDays
