/// @file
/// Allowances shared by several nodes: the sum of their grants under uneven and excessive demand, and with partitioned
/// and restarted nodes.

#include "Quota/Quota.h"

#include <utility>

#include <CppUTest/TestHarness.h>

namespace {

using namespace Quota;

constexpr double perSecond = 100000;
constexpr double requestTokens = 9000;
constexpr milliseconds reportInterval { 250 };
constexpr milliseconds reportDelay { 40 };

Common::instant at(milliseconds time)
{
    return Common::instant(std::chrono::hours(1)) + time;
}

Catalog::catalog makeCatalog(double rate)
{
    Catalog::catalog catalog;
    Catalog::account item;
    item.id = { "clerks" };
    item.allowed = { rate, rate, true, 200 };
    catalog.accounts.push_back(item);
    return catalog;
}

struct delayed_report {
    milliseconds due;
    size_t recipient;
    node_report report;
};

struct delayed_lease {
    milliseconds due;
    size_t sender;
    size_t recipient;
    lease_message message;
};

struct waiting_request {
    milliseconds until;
    size_t node;
};

/// Simulates nodes that exchange reports with a delay, each with its own request rate.
struct simulated_nodes {
    std::vector<quota_state> nodes;
    std::vector<uint64_t> incarnations;
    std::vector<double> pendingTokens; ///< Tokens requested from each node but not yet passed to tryConsume().
    std::vector<delayed_report> reportsInTransit;
    std::vector<delayed_lease> leasesInTransit;
    std::vector<waiting_request> waiting;
    std::vector<bool> isPartitioned; ///< The node neither sends nor receives reports.
    std::vector<std::pair<milliseconds, double>> granted; ///< Time and tokens of each grant, by all nodes.

    explicit simulated_nodes(size_t count)
        : nodes(count)
        , incarnations(count, 1)
        , pendingTokens(count, 0)
        , isPartitioned(count, false)
    {
        for (size_t index = 0; index < count; ++index)
            startNode(index, milliseconds(0), false);
    }

    void startNode(size_t index, milliseconds now, bool startsEmpty)
    {
        nodes[index] = {};
        nodes[index].startsEmpty = startsEmpty;
        nodes[index].self = { std::to_string(index) };
        nodes[index].incarnation = { incarnations[index] };
        nodes[index].reportedAt = at(now);
        setAllowances(nodes[index], makeCatalog(perSecond), at(now));
        std::set<Common::node_id> others;
        for (size_t other = 0; other < nodes.size(); ++other) {
            if (other != index)
                others.insert({ std::to_string(other) });
        }
        setPeers(nodes[index], others, at(now));
    }

    void sendReports(milliseconds now)
    {
        for (size_t index = 0; index < nodes.size(); ++index) {
            node_report report = makeReport(nodes[index], at(now));
            report.node = { std::to_string(index) };
            report.incarnation = { incarnations[index] };
            for (size_t other = 0; other < nodes.size(); ++other) {
                if (other != index && !isPartitioned[index] && !isPartitioned[other])
                    reportsInTransit.push_back({ now + reportDelay, other, report });
            }
        }
    }

    void deliverReports(milliseconds now)
    {
        for (const delayed_report& item : reportsInTransit) {
            if (item.due == now)
                applyReport(nodes[item.recipient], item.report, at(now));
        }
    }

    void sendLeases(milliseconds now)
    {
        for (size_t index = 0; index < nodes.size(); ++index) {
            for (const outgoing_lease& item : std::exchange(nodes[index].outgoing, {})) {
                const size_t other = std::stoul(item.receiver.value);
                if (!isPartitioned[index] && !isPartitioned[other])
                    leasesInTransit.push_back({ now + reportDelay, index, other, item.message });
            }
        }
    }

    void deliverLeases(milliseconds now)
    {
        for (const delayed_lease& item : leasesInTransit) {
            if (item.due == now)
                applyMessage(nodes[item.recipient], { std::to_string(item.sender) }, item.message, at(now));
        }
        for (const waiting_request& item : std::exchange(waiting, {})) {
            if (retryWaiting(nodes[item.node], { "clerks" }, requestTokens, at(now)).isGranted)
                granted.emplace_back(now, requestTokens);
            else if (now >= item.until)
                stopWaiting(nodes[item.node], { "clerks" }, requestTokens, at(now));
            else
                waiting.push_back(item);
        }
    }

    /// Simulates a period.
    /// @param demand requested tokens per second at each node.
    void run(milliseconds from, milliseconds to, const std::vector<double>& demand)
    {
        for (milliseconds now = from; now < to; now += milliseconds(10)) {
            if (now.count() % reportInterval.count() == 0)
                sendReports(now);
            deliverReports(now);
            deliverLeases(now);
            for (size_t index = 0; index < nodes.size(); ++index) {
                pendingTokens[index] += demand[index] / 100;
                while (pendingTokens[index] >= requestTokens) {
                    pendingTokens[index] -= requestTokens;
                    const grant decision = tryConsume(nodes[index], { "clerks" }, requestTokens, at(now));
                    if (decision.isGranted)
                        granted.emplace_back(now, requestTokens);
                    if (decision.isPending)
                        waiting.push_back({ now + maxLeaseWait, index });
                }
            }
            sendLeases(now);
        }
    }

    double maxInWindow(milliseconds window) const
    {
        double highest = 0;
        for (const auto& [start, first] : granted) {
            double sum = 0;
            for (const auto& [time, tokens] : granted)
                sum += time >= start && time < start + window ? tokens : 0;
            highest = std::max(highest, sum);
        }
        return highest;
    }

    double total(milliseconds from, milliseconds to) const
    {
        double sum = 0;
        for (const auto& [time, tokens] : granted)
            sum += time >= from && time < to ? tokens : 0;
        return sum;
    }
};

/// Upper bound that the users set for the tokens granted in any window of eight seconds: the allowance with its burst,
/// 10 % overshoot and a fixed slack.
double allowedInWindow()
{
    constexpr double overshoot = 0.1;
    constexpr double slack = 110000;
    constexpr double window = 8;
    return (perSecond * window + perSecond) * (1 + overshoot) + slack;
}

constexpr milliseconds window { 8000 };

} // namespace

TEST_GROUP(Quota) {};

TEST(Quota, DemandWithinTheAllowanceIsGrantedWhenUnevenlyDistributed)
{
    struct row {
        std::vector<double> demand;
    };
    const row rows[] = {
        { { 10000, 10000, 10000, 10000, 10000, 10000 } },
        { { 80000, 0, 0, 0, 0, 0 } },
        { { 45000, 45000, 0, 0, 0, 0 } },
    };
    for (const row& item : rows) {
        simulated_nodes simulation(6);
        simulation.run(milliseconds(0), milliseconds(12000), item.demand);
        double asked = 0;
        for (const double rate : item.demand)
            asked += rate * 12;
        CHECK(simulation.total(milliseconds(0), milliseconds(12000)) > 0.97 * (asked - 6 * requestTokens));
    }
}

TEST(Quota, DemandAboveTheAllowanceIsLimitedToTheAllowance)
{
    struct row {
        std::vector<double> demand;
    };
    const row rows[] = {
        { { 70000, 70000, 70000, 70000, 70000, 70000 } },
        { { 420000, 0, 0, 0, 0, 0 } },
        { { 200000, 200000, 5000, 5000, 5000, 5000 } },
    };
    for (const row& item : rows) {
        simulated_nodes simulation(6);
        simulation.run(milliseconds(0), milliseconds(16000), item.demand);
        CHECK(simulation.maxInWindow(window) <= allowedInWindow());
        // Nor is much of the allowance left unused.
        CHECK(simulation.total(milliseconds(2000), milliseconds(16000)) > 0.85 * perSecond * 14);
    }
}

TEST(Quota, PartitionedOrRestartedNodesDoNotExceedTheAllowance)
{
    const std::vector<double> heavy(6, 70000);
    simulated_nodes simulation(6);
    simulation.run(milliseconds(0), milliseconds(5000), heavy);
    simulation.isPartitioned[0] = true;
    simulation.run(milliseconds(5000), milliseconds(10000), heavy);
    simulation.isPartitioned[0] = false;
    for (size_t index = 1; index < 6; ++index) {
        ++simulation.incarnations[index];
        simulation.startNode(index, milliseconds(10000), true);
    }
    simulation.run(milliseconds(10000), milliseconds(18000), heavy);
    CHECK(simulation.maxInWindow(window) <= allowedInWindow());
}

TEST(Quota, AnUnlimitedOrUnknownAccountIsGranted)
{
    quota_state state;
    setAllowances(state, makeCatalog(0), at(milliseconds(0)));
    CHECK(tryConsume(state, { "clerks" }, 1e9, at(milliseconds(0))).isGranted);
    CHECK(tryConsume(state, { "nobody" }, 1e9, at(milliseconds(0))).isGranted);
}

TEST(Quota, RefusalStatesWhenToRetryAndRefundRestoresTheAllowance)
{
    quota_state state;
    setAllowances(state, makeCatalog(perSecond), at(milliseconds(0)));
    CHECK(tryConsume(state, { "clerks" }, perSecond, at(milliseconds(0))).isGranted);
    const grant refused = tryConsume(state, { "clerks" }, requestTokens, at(milliseconds(0)));
    CHECK(!refused.isGranted);
    CHECK(refused.retryAfter > milliseconds(0));
    refund(state, { "clerks" }, perSecond);
    CHECK(tryConsume(state, { "clerks" }, requestTokens, at(milliseconds(0))).isGranted);
}

TEST(Quota, WhatANodeThatDoesNotLeaseGrantsIsDeducted)
{
    struct row {
        bool isLeasing;
        int granted; ///< Of the rate, in requests of a tenth of it, after two reports of half of it each.
    };
    const row rows[] = { { false, 5 }, { true, 10 } };
    for (const row& item : rows) {
        quota_state state;
        state.self = { "a" };
        setAllowances(state, makeCatalog(perSecond), at(milliseconds(0)));
        setPeers(state, { { "b" } }, at(milliseconds(0)));
        const std::vector<granted_total> before { { { "clerks" }, perSecond, 0 } };
        const std::vector<granted_total> after { { { "clerks" }, perSecond * 1.5, 0 } };
        applyReport(state, { { "b" }, { 1 }, before, item.isLeasing }, at(milliseconds(0)));
        // Only nodes that lease can own an account.
        CHECK(item.isLeasing || state.accounts.begin()->second.owners.owner == state.self);
        state.buckets[{ "clerks" }].level = perSecond;
        state.buckets[{ "clerks" }].isBackup = false;
        state.accounts.begin()->second.owners = { state.self, {} };
        applyReport(state, { { "b" }, { 1 }, after, item.isLeasing }, at(milliseconds(0)));
        int granted = 0;
        while (granted < 20 && tryConsume(state, { "clerks" }, perSecond / 10, at(milliseconds(0))).isGranted)
            ++granted;
        CHECK_EQUAL(item.granted, granted);
        CHECK_EQUAL(item.isLeasing ? 0 : 1, makeReport(state, at(milliseconds(0))).accounts.size());
    }
}

TEST(Quota, ABucketIsNotChargedForWhatAnotherOwnerAccountedFor)
{
    const granting_part part { { perSecond, perSecond, true, 200 }, 1 };
    lease_bucket bucket;
    bucket.level = perSecond;
    bucket.refilledAt = at(milliseconds(0));
    lease_ask ask { { "clerks" }, { 1 }, 1 };
    CHECK(answerAsk(bucket, part, { "n1" }, ask, at(milliseconds(0))).has_value());
    ask.sequence = 2;
    ask.used = ask.settled = 50 * perSecond;
    CHECK(answerAsk(bucket, part, { "n1" }, ask, at(milliseconds(50000))).has_value());
    DOUBLES_EQUAL(perSecond, bucket.level, 1);
}

TEST(Quota, ANodeIsAnsweredAfterItsClockWasSetBackAndItStartedAnew)
{
    const granting_part part { { perSecond, perSecond, true, 200 }, 1 };
    lease_bucket bucket;
    bucket.refilledAt = at(milliseconds(0));
    CHECK(answerAsk(bucket, part, { "n1" }, { { "clerks" }, { 9 }, 5 }, at(milliseconds(0))).has_value());
    CHECK(!answerAsk(bucket, part, { "n1" }, { { "clerks" }, { 4 }, 1 }, at(milliseconds(500))).has_value());
    CHECK(answerAsk(bucket, part, { "n1" }, { { "clerks" }, { 4 }, 2 }, at(milliseconds(2000))).has_value());
}
