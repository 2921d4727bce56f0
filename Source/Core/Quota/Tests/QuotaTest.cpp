/// @file
/// Allowances shared by nodes: what the nodes grant together under uneven and heavy demand, with joins, silence and
/// restarts.

#include "Quota/Quota.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace Quota;

constexpr double perSecond = 100000;
constexpr double requestTokens = 9000;
constexpr milliseconds exchangeInterval { 250 };
constexpr milliseconds exchangeDelay { 40 };

Common::instant at(milliseconds time)
{
    return Common::instant(std::chrono::hours(1)) + time;
}

Catalog::catalog makeCatalog(double rate)
{
    Catalog::catalog made;
    Catalog::account item;
    item.id = { "clerks" };
    item.allowed = { rate, rate, true, 200 };
    made.accounts.push_back(item);
    return made;
}

struct delayed_report {
    milliseconds due;
    size_t to;
    node_report report;
};

/// Nodes that exchange reports with a delay, each asked at its own rate.
struct played_nodes {
    std::vector<ledger> nodes;
    std::vector<uint64_t> incarnations;
    std::vector<double> owed; ///< Tokens of requests that are due at each node.
    std::vector<delayed_report> underWay;
    std::vector<bool> isCut; ///< Its reports reach nobody, and nobody's reach it.
    std::vector<std::pair<milliseconds, double>> granted;

    explicit played_nodes(size_t count)
        : nodes(count)
        , incarnations(count, 1)
        , owed(count, 0)
        , isCut(count, false)
    {
        for (size_t index = 0; index < count; ++index)
            begin(index, milliseconds(0), false);
    }

    void begin(size_t index, milliseconds now, bool startsEmpty)
    {
        nodes[index] = {};
        nodes[index].startsEmpty = startsEmpty;
        nodes[index].reportedAt = at(now);
        setAllowances(nodes[index], makeCatalog(perSecond), at(now));
        std::set<Common::node_id> others;
        for (size_t other = 0; other < nodes.size(); ++other) {
            if (other != index)
                others.insert({ std::to_string(other) });
        }
        setPeers(nodes[index], others, at(now));
    }

    void exchange(milliseconds now)
    {
        for (size_t index = 0; index < nodes.size(); ++index) {
            node_report report = makeReport(nodes[index], at(now));
            report.node = { std::to_string(index) };
            report.incarnation = { incarnations[index] };
            for (size_t other = 0; other < nodes.size(); ++other) {
                if (other != index && !isCut[index] && !isCut[other])
                    underWay.push_back({ now + exchangeDelay, other, report });
            }
        }
    }

    void deliver(milliseconds now)
    {
        for (const delayed_report& item : underWay) {
            if (item.due == now)
                hearReport(nodes[item.to], item.report, at(now));
        }
    }

    /// Plays a span in which each node is asked for so many tokens a second.
    void play(milliseconds from, milliseconds to, const std::vector<double>& demand)
    {
        for (milliseconds now = from; now < to; now += milliseconds(10)) {
            if (now.count() % exchangeInterval.count() == 0)
                exchange(now);
            deliver(now);
            for (size_t index = 0; index < nodes.size(); ++index) {
                owed[index] += demand[index] / 100;
                while (owed[index] >= requestTokens) {
                    owed[index] -= requestTokens;
                    if (take(nodes[index], { "clerks" }, requestTokens, at(now)).isGranted)
                        granted.emplace_back(now, requestTokens);
                }
            }
        }
    }

    double mostInWindow(milliseconds window) const
    {
        double most = 0;
        for (const auto& [start, first] : granted) {
            double sum = 0;
            for (const auto& [time, tokens] : granted)
                sum += time >= start && time < start + window ? tokens : 0;
            most = std::max(most, sum);
        }
        return most;
    }

    double total(milliseconds from, milliseconds to) const
    {
        double sum = 0;
        for (const auto& [time, tokens] : granted)
            sum += time >= from && time < to ? tokens : 0;
        return sum;
    }
};

/// What the users allow in a window of eight seconds: a tenth more, and a slack.
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

TEST(Quota, DemandWithinTheAllowanceIsGrantedHoweverUneven)
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
        played_nodes played(6);
        played.play(milliseconds(0), milliseconds(12000), item.demand);
        double asked = 0;
        for (const double rate : item.demand)
            asked += rate * 12;
        CHECK(played.total(milliseconds(0), milliseconds(12000)) > 0.97 * (asked - 6 * requestTokens));
    }
}

TEST(Quota, HeavyDemandIsHeldToTheAllowance)
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
        played_nodes played(6);
        played.play(milliseconds(0), milliseconds(16000), item.demand);
        CHECK(played.mostInWindow(window) <= allowedInWindow());
        // What is allowed is not withheld either.
        CHECK(played.total(milliseconds(2000), milliseconds(16000)) > 0.85 * perSecond * 14);
    }
}

TEST(Quota, NodesThatAreCutOffOrRestartDoNotAddToTheAllowance)
{
    const std::vector<double> heavy(6, 70000);
    played_nodes played(6);
    played.play(milliseconds(0), milliseconds(5000), heavy);
    played.isCut[0] = true;
    played.play(milliseconds(5000), milliseconds(10000), heavy);
    played.isCut[0] = false;
    for (size_t index = 1; index < 6; ++index) {
        ++played.incarnations[index];
        played.begin(index, milliseconds(10000), true);
    }
    played.play(milliseconds(10000), milliseconds(18000), heavy);
    CHECK(played.mostInWindow(window) <= allowedInWindow());
}

TEST(Quota, AnUnlimitedOrUnknownAccountIsGranted)
{
    ledger state;
    setAllowances(state, makeCatalog(0), at(milliseconds(0)));
    CHECK(take(state, { "clerks" }, 1e9, at(milliseconds(0))).isGranted);
    CHECK(take(state, { "nobody" }, 1e9, at(milliseconds(0))).isGranted);
}

TEST(Quota, ARefusalSaysWhenToComeBackAndWhatDidNotRunIsGivenBack)
{
    ledger state;
    setAllowances(state, makeCatalog(perSecond), at(milliseconds(0)));
    CHECK(take(state, { "clerks" }, perSecond, at(milliseconds(0))).isGranted);
    const grant refused = take(state, { "clerks" }, requestTokens, at(milliseconds(0)));
    CHECK(!refused.isGranted);
    CHECK(refused.retryAfter > milliseconds(0));
    giveBack(state, { "clerks" }, perSecond);
    CHECK(take(state, { "clerks" }, requestTokens, at(milliseconds(0))).isGranted);
}
