#pragma once

/// @file
/// Many nodes that share one account's allowance, on a virtual clock, with requests and messages drawn from a seed.

#include "Common/Random.h"
#include "Quota/Quota.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>

namespace QuotaSimulation {

using namespace Quota;

constexpr milliseconds tick { 10 };
constexpr milliseconds window { 8000 };
constexpr double fullRate = 690000;

/// Demand, in multiples of the rate, from a time on.
struct demand_phase {
    int fromMs;
    double multiple;
};

enum class distribution {
    Even,
    Skewed, ///< The first node gets half of all, the next one half of the rest, and so on for eight nodes.
    OneNode,
};

struct fleet_plan {
    size_t nodes { 6 };
    int minTokens { 200 };
    int maxTokens { 40000 };
    distribution spread { distribution::Even };
    double rate { fullRate };
    double burst { fullRate };
    double lost { 0 }; ///< Part of the messages.
    double doubled { 0 };
    int lateMs { 40 }; ///< Longest delay of a message; the shortest is 40 ms, or this if it is less.
    const char* account { "clerks" };
};

struct message_in_transit {
    milliseconds due;
    uint64_t number;
    size_t from;
    size_t to;
    lease_message body;
    bool operator<(const message_in_transit& other) const { return std::tie(due, number) > std::tie(other.due, other.number); }
};

struct waiting_request {
    milliseconds until;
    double tokens;
};

struct simulated_node {
    quota_state state;
    uint64_t incarnation { 1 };
    milliseconds reportAt { 0 };
    bool isUp { true };
    bool isFrozen { false };
    bool isRefusing { false }; ///< Callers use other nodes.
    std::deque<waiting_request> waiting; ///< Oldest first.
    int side { 0 }; ///< Nodes of different sides don't hear each other.
};

struct fleet {
    fleet_plan plan;
    std::vector<simulated_node> nodes;
    std::priority_queue<message_in_transit> transit;
    Common::random_source random;
    std::vector<uint64_t> sentBy;
    std::vector<double> granted; ///< Tokens per tick.
    std::vector<double> asked;
    double pendingTokens { 0 };
    double nextTokens { 0 };
    uint64_t messages { 0 };
    uint64_t requests { 0 };
    uint64_t waited { 0 }; ///< Requests that weren't granted at once.

    fleet(const fleet_plan& item, uint64_t seed)
        : plan(item)
        , nodes(item.nodes)
        , random(seed)
        , sentBy(item.nodes)
    {
        for (size_t index = 0; index < nodes.size(); ++index) {
            start(index, milliseconds(0), true);
            know(index, milliseconds(0), nodes.size());
        }
        nextTokens = drawTokens();
    }

    static Common::instant at(milliseconds time) { return Common::instant(std::chrono::hours(1)) + time; }
    static Common::node_id idOf(size_t index) { return { "node-" + std::to_string(index) }; }
    Common::account_id account() const { return { plan.account }; }

    Catalog::catalog makeCatalog() const
    {
        Catalog::catalog catalog;
        Catalog::account item;
        item.id = account();
        item.allowed = { plan.rate, plan.burst, true, 200 };
        catalog.accounts.push_back(item);
        return catalog;
    }

    milliseconds reportInterval() const { return milliseconds(250) * std::max<int64_t>(1, static_cast<int64_t>(nodes.size() / 20)); }

    /// Starts a node that knows no peers yet.
    void start(size_t index, milliseconds now, bool isFirst)
    {
        simulated_node& node = nodes[index];
        ++node.incarnation;
        node.state = {};
        node.state.self = idOf(index);
        node.state.incarnation = { node.incarnation };
        node.state.arePeersKnown = false;
        node.state.random = Common::random_source(index + 1000 * node.incarnation);
        node.waiting.clear();
        node.isUp = true;
        node.isRefusing = false;
        node.state.startsEmpty = !isFirst;
        node.state.reportedAt = at(now);
        node.state.peerReportTimeout = 3 * reportInterval() + milliseconds(150);
        node.reportAt = now + milliseconds(Common::uniformBelow(random, static_cast<uint32_t>(reportInterval().count())));
        setAllowances(node.state, makeCatalog(), at(now));
    }

    /// Tells a node of so many nodes of the fleet, itself among them.
    void know(size_t index, milliseconds now, size_t count)
    {
        std::set<Common::node_id> peers;
        for (size_t step = 1; step < count; ++step) {
            const size_t other = (index + step) % nodes.size();
            if (nodes[other].isUp)
                peers.insert(idOf(other));
        }
        setPeers(nodes[index].state, peers, at(now));
    }

    void setLimit(milliseconds now, double rate)
    {
        plan.rate = rate;
        plan.burst = rate;
        for (simulated_node& node : nodes)
            setAllowances(node.state, makeCatalog(), at(now));
    }

    double drawTokens() { return plan.minTokens + std::floor(Common::uniformUnit(random) * (plan.maxTokens - plan.minTokens)); }

    size_t drawNode()
    {
        size_t index = Common::uniformBelow(random, static_cast<uint32_t>(nodes.size()));
        if (plan.spread == distribution::OneNode)
            index = 0;
        for (size_t skewed = 0; plan.spread == distribution::Skewed && skewed < std::min<size_t>(8, nodes.size()); ++skewed) {
            if (Common::uniformUnit(random) < 0.5)
                return skewed;
        }
        return index;
    }

    void post(milliseconds now, size_t from, size_t to, const lease_message& body)
    {
        ++messages;
        ++sentBy[from];
        if (Common::uniformUnit(random) < plan.lost)
            return;
        const int copies = Common::uniformUnit(random) < plan.doubled ? 2 : 1;
        const int shortest = std::min(40, plan.lateMs);
        for (int copy = 0; copy < copies; ++copy) {
            const milliseconds delay(shortest + static_cast<int>(Common::uniformUnit(random) * (plan.lateMs - shortest)));
            transit.push({ now + delay, ++sent, from, to, body });
        }
    }

    void deliver(milliseconds now)
    {
        std::vector<message_in_transit> kept;
        while (!transit.empty() && transit.top().due <= now) {
            const message_in_transit item = transit.top();
            transit.pop();
            simulated_node& node = nodes[item.to];
            if (!node.isUp || node.side != nodes[item.from].side)
                continue;
            if (node.isFrozen)
                kept.push_back(item);
            else
                apply(now, item);
        }
        for (message_in_transit& item : kept) {
            item.due = now + tick;
            transit.push(item);
        }
    }

    void apply(milliseconds now, const message_in_transit& item)
    {
        quota_state& state = nodes[item.to].state;
        if (applyMessage(state, idOf(item.from), item.body, at(now)))
            serveWaiting(now, item.to);
        flush(now, item.to);
    }

    void flush(milliseconds now, size_t index)
    {
        for (const outgoing_lease& item : std::exchange(nodes[index].state.outgoing, {}))
            post(now, index, static_cast<size_t>(std::stoul(item.receiver.value.substr(5))), item.message);
    }

    void recordGrant(milliseconds now, double tokens) { granted[static_cast<size_t>(now / tick)] += tokens; }

    void serveWaiting(milliseconds now, size_t index)
    {
        simulated_node& node = nodes[index];
        for (const waiting_request& item : std::exchange(node.waiting, {})) {
            if (retryWaiting(node.state, account(), item.tokens, at(now)).isGranted)
                recordGrant(now, item.tokens);
            else if (now >= item.until)
                stopWaiting(node.state, account(), item.tokens, at(now));
            else
                node.waiting.push_back(item);
        }
        flush(now, index);
    }

    void sendReport(milliseconds now, size_t index)
    {
        simulated_node& node = nodes[index];
        // Reports of nodes that lease only tell that they are up.
        node_report report = makeReport(node.state, at(now));
        report.node = idOf(index);
        report.incarnation = { node.incarnation };
        node.reportAt = now + reportInterval();
        for (size_t other = 0; other < nodes.size(); ++other) {
            if (other != index && isConnected(index, other) && Common::uniformUnit(random) >= plan.lost)
                applyReport(nodes[other].state, report, at(now));
        }
    }

    bool isConnected(size_t from, size_t to) const
    {
        return nodes[to].isUp && !nodes[to].isFrozen && nodes[from].side == nodes[to].side;
    }

    void request(milliseconds now, size_t index, double tokens)
    {
        if (!nodes[index].isUp || nodes[index].isFrozen || nodes[index].isRefusing)
            return;
        asked[static_cast<size_t>(now / tick)] += tokens;
        const grant decision = tryConsume(nodes[index].state, account(), tokens, at(now));
        if (decision.isGranted)
            recordGrant(now, tokens);
        if (decision.isPending)
            nodes[index].waiting.push_back({ now + maxLeaseWait, tokens });
        waited += decision.isGranted ? 0 : 1;
        ++requests;
        flush(now, index);
    }

    void step(milliseconds now, double multiple)
    {
        granted.push_back(0);
        asked.push_back(0);
        deliver(now);
        for (size_t index = 0; index < nodes.size(); ++index) {
            if (nodes[index].isUp && !nodes[index].isFrozen && now >= nodes[index].reportAt)
                sendReport(now, index);
            if (nodes[index].isUp && !nodes[index].isFrozen && (now + milliseconds(10 * index)) % returnInterval == milliseconds(0)) {
                returnExpired(nodes[index].state, at(now));
                flush(now, index);
            }
            if (nodes[index].isUp && !nodes[index].isFrozen && !nodes[index].waiting.empty() && now % leaseWaitInterval == milliseconds(0))
                serveWaiting(now, index);
        }
        pendingTokens += plan.rate * multiple * static_cast<double>(tick.count()) / 1000;
        while (pendingTokens >= nextTokens) {
            pendingTokens -= nextTokens;
            request(now, drawNode(), nextTokens);
            nextTokens = drawTokens();
        }
    }

    static double sum(const std::vector<double>& item, int fromMs, int toMs)
    {
        double total = 0;
        for (auto index = static_cast<size_t>(fromMs / tick.count()); index < std::min(item.size(), static_cast<size_t>(toMs / tick.count())); ++index)
            total += item[index];
        return total;
    }

    /// @return the largest sum of any window, of the users' bound.
    double partOfBound(double rate, double burst) const
    {
        double highest = 0;
        double total = 0;
        const auto length = static_cast<size_t>(window / tick);
        for (size_t index = 0; index < granted.size(); ++index) {
            total += granted[index];
            if (index >= length)
                total -= granted[index - length];
            highest = std::max(highest, total);
        }
        return highest / ((rate * 8 + burst) * 1.1 + 110000);
    }

    uint64_t sent { 0 };
};

} // namespace QuotaSimulation
