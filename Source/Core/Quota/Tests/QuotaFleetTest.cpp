/// @file
/// One account's allowance, shared by up to 400 nodes: the users' bound of what they grant together, and that they grant what
/// the account may use. Every row is run for each number of nodes.

#include "FleetSimulation.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace QuotaSimulation;

namespace {

constexpr size_t fleetSizes[] = { 1, 6, 42, 66, 82, 295, 400 };
constexpr int endMs = 18000;
/// From then on the use of the rate is measured.
constexpr int usedFromMs = 2000;
constexpr int eventMs = 9000;
/// Peers become known this late to a node that is started anew.
constexpr int lateKnowledgeMs = 700;
constexpr int eventEffectMs = 3000;

enum class fleet_event {
    None,
    RestartOne,
    RestartHalf,
    RestartAll,
    LeaveTenth,
    FreezeThird,
    CutInHalves,
    LowerLimit,
    OwnerDies,
    OwnerRestarts,
};

enum class knowledge {
    None,
    Few,
    All,
};

struct row {
    const char* name;
    std::vector<demand_phase> demand;
    int minTokens { 200 };
    int maxTokens { 40000 };
    distribution spread { distribution::Even };
    fleet_event event { fleet_event::None };
    knowledge known { knowledge::All };
    bool isFirstStart { false };
    double lost { 0 };
    double doubled { 0 };
    int lateMs { 40 };
    double burst { fullRate };
};

bool isOwner(size_t index, size_t nodes)
{
    std::set<Common::node_id> others;
    for (size_t other = 1; other < nodes; ++other)
        others.insert(fleet::idOf(other));
    return Common::rankOwners(fleet_plan().account, fleet::idOf(0), others).owner == fleet::idOf(index);
}

bool isRestarted(fleet_event event, size_t index, size_t nodes)
{
    switch (event) {
    case fleet_event::OwnerRestarts:
        return isOwner(index, nodes);
    case fleet_event::RestartOne:
        return index == nodes / 2;
    case fleet_event::RestartHalf:
        return index % 2 == 0;
    default:
        return event == fleet_event::RestartAll;
    }
}

size_t countKnown(knowledge known, size_t nodes)
{
    return known == knowledge::All ? nodes : std::min<size_t>(nodes, 5);
}

void restart(fleet& fleet, const row& item, milliseconds now)
{
    for (size_t index = 0; index < fleet.nodes.size(); ++index) {
        if (!isRestarted(item.event, index, fleet.nodes.size()))
            continue;
        fleet.start(index, now, item.isFirstStart);
        if (item.known != knowledge::None)
            fleet.know(index, now, countKnown(item.known, fleet.nodes.size()));
    }
}

void begin(fleet& fleet, const row& item, milliseconds now)
{
    restart(fleet, item, now);
    for (size_t index = 0; index < fleet.nodes.size(); ++index) {
        if (item.event == fleet_event::LeaveTenth && index % 10 == 1)
            fleet.nodes[index].isUp = false;
        if (item.event == fleet_event::OwnerDies && fleet.nodes.size() > 1 && isOwner(index, fleet.nodes.size()))
            fleet.nodes[index].isUp = false;
        if (item.event == fleet_event::FreezeThird)
            fleet.nodes[index].isFrozen = index % 3 == 1;
        if (item.event == fleet_event::CutInHalves)
            fleet.nodes[index].side = index % 2;
    }
    if (item.event == fleet_event::LowerLimit)
        fleet.setLimit(now, fullRate / 2);
}

/// What the nodes come to know a while after the event, and its end.
void settle(fleet& fleet, const row& item, milliseconds now)
{
    const bool isKnown = now.count() == eventMs + lateKnowledgeMs;
    for (size_t index = 0; index < fleet.nodes.size(); ++index) {
        const bool isNew = isRestarted(item.event, index, fleet.nodes.size());
        if (isKnown && fleet.nodes[index].isUp && (isNew || item.event == fleet_event::LeaveTenth))
            fleet.know(index, now, fleet.nodes.size());
        if (now.count() == eventMs + eventEffectMs) {
            fleet.nodes[index].isFrozen = false;
            fleet.nodes[index].side = 0;
        }
    }
}

double multipleAt(const row& item, milliseconds now)
{
    double multiple = 0;
    for (const demand_phase& phase : item.demand) {
        if (now.count() >= phase.fromMs)
            multiple = phase.multiple;
    }
    return multiple;
}

/// Runs a row on fleets of all sizes. A limit that is lowered must hold as soon as the windows begin after it.
/// @return the conditions that were not met.
std::string check(const row& item, bool isUseRequired)
{
    std::string failures;
    for (const size_t nodes : fleetSizes) {
        fleet_plan plan { nodes, item.minTokens, item.maxTokens, item.spread, fullRate, item.burst, item.lost, item.doubled, item.lateMs };
        fleet fleet(plan, 7 + nodes);
        for (milliseconds now(0); now.count() < endMs; now += tick) {
            if (now.count() == eventMs)
                begin(fleet, item, now);
            if (now.count() > eventMs)
                settle(fleet, item, now);
            fleet.step(now, multipleAt(item, now));
        }
        const double part = fleet.partOfBound(fullRate, item.burst);
        const std::string condition = std::string(item.name) + ", " + std::to_string(nodes) + " nodes";
        const double grantedTokens = fleet.sum(fleet.granted, usedFromMs, endMs);
        const double askedTokens = fleet.sum(fleet.asked, usedFromMs, endMs);
        const double full = fullRate * (endMs - usedFromMs) / 1000;
        const double possible = std::min(askedTokens, full);
        const double seconds = endMs / 1000.0;
        const double busiest = static_cast<double>(*std::max_element(fleet.sentBy.begin(), fleet.sentBy.end())) / seconds;
        const double waited = static_cast<double>(fleet.waited) / std::max(1.0, static_cast<double>(fleet.requests));
        std::printf("%-60s %.3f of the bound, %.3f used, %.2f not at once, messages a second: %.1f a node, %.0f at the busiest\n", condition.c_str(), part, grantedTokens / possible, waited, static_cast<double>(fleet.messages) / static_cast<double>(nodes) / seconds, busiest);
        bool isMet = part <= 1;
        if (item.event == fleet_event::LowerLimit) {
            fleet.granted.erase(fleet.granted.begin(), fleet.granted.begin() + eventMs / tick.count());
            isMet = isMet && fleet.partOfBound(fullRate / 2, fullRate / 2) <= 1;
        }
        const bool isUnderRate = askedTokens < 0.95 * full;
        if (isUseRequired)
            isMet = isMet && grantedTokens >= (isUnderRate ? 0.97 : 0.85) * possible;
        if (!isMet)
            failures += condition + "; ";
    }
    return failures;
}

const std::vector<demand_phase> under { { 0, 0.9 } };
const std::vector<demand_phase> twice { { 0, 2 } };
const std::vector<demand_phase> high { { 0, 7.5 } };
const std::vector<demand_phase> highest { { 0, 10 } };
const std::vector<demand_phase> quietThenHigh { { 0, 0.15 }, { 7000, 7.5 } };
const std::vector<demand_phase> waves { { 0, 4 }, { 2000, 0.1 }, { 5000, 7.5 }, { 7000, 0.2 }, { 10000, 10 }, { 12000, 0.1 }, { 14000, 7.5 } };

} // namespace

TEST_GROUP(QuotaFleet) {};

TEST(QuotaFleet, UnevenDemandOfAnySizeIsGrantedUpToTheRateAndNoMore)
{
    const row rows[] = {
        { "0.9 of the rate", under },
        { "0.9, small requests", under, 200, 3000 },
        { "0.9, skewed", under, 200, 40000, distribution::Skewed },
        { "0.9, one node", under, 200, 40000, distribution::OneNode },
        { "twice", twice },
        { "twice, large requests", twice, 21000, 40000 },
        { "twice, skewed", twice, 200, 40000, distribution::Skewed },
        { "7.5 times, small requests", high, 200, 3000 },
        { "7.5 times, one node", high, 200, 40000, distribution::OneNode },
        { "10 times", highest },
        { "10 times, large requests", highest, 21000, 40000 },
        { "7.5 times, 10 % of messages lost", high, 200, 40000, distribution::Even, fleet_event::None, knowledge::All, false, 0.1 },
        { "7.5 times, 20 % of messages doubled", high, 200, 40000, distribution::Even, fleet_event::None, knowledge::All, false, 0, 0.2 },
        { "7.5 times, messages late", high, 200, 40000, distribution::Even, fleet_event::None, knowledge::All, false, 0, 0, 500 },
        { "no burst, twice", twice, 200, 40000, distribution::Even, fleet_event::None, knowledge::All, false, 0, 0, 40, 0 },
        { "no burst, 0.9", under, 200, 3000, distribution::Even, fleet_event::None, knowledge::All, false, 0, 0, 40, 0 },
    };
    std::string failures;
    for (const row& item : rows)
        failures += check(item, true);
    STRCMP_EQUAL("", failures.c_str());
}

TEST(QuotaFleet, ChangingDemandIsLimited)
{
    const row rows[] = {
        { "quiet, then 7.5 times", quietThenHigh },
        { "quiet, then 7.5 times, large requests", quietThenHigh, 21000, 40000 },
        { "quiet, then 7.5 times, skewed", quietThenHigh, 200, 40000, distribution::Skewed },
        { "waves", waves },
        { "waves, large requests", waves, 21000, 40000 },
    };
    std::string failures;
    for (const row& item : rows)
        failures += check(item, false);
    STRCMP_EQUAL("", failures.c_str());
}

TEST(QuotaFleet, StartedNodesDoNotExceedTheAllowance)
{
    const fleet_event events[] = { fleet_event::RestartOne, fleet_event::RestartHalf, fleet_event::RestartAll };
    const char* const names[] = { "one started anew", "half started anew", "all started anew" };
    const knowledge known[] = { knowledge::None, knowledge::Few, knowledge::All };
    const char* const knownNames[] = { "knowing none", "knowing few", "knowing all" };
    std::string failures;
    for (size_t event = 0; event < 3; ++event) {
        for (size_t level = 0; level < 3; ++level) {
            const std::string name = std::string(names[event]) + ", " + knownNames[level];
            failures += check({ name.c_str(), high, 200, 40000, distribution::Even, events[event], known[level] }, false);
        }
    }
    failures += check({ "first start of all, knowing all", { { 0, 0 }, { 9000, 7.5 } }, 200, 40000, distribution::Even, fleet_event::RestartAll, knowledge::All, true }, false);
    STRCMP_EQUAL("", failures.c_str());
}

TEST(QuotaFleet, NodesThatLeaveFreezeOrAreCutOffDoNotExceedTheAllowance)
{
    const row rows[] = {
        { "a tenth leaves", high, 200, 40000, distribution::Even, fleet_event::LeaveTenth },
        { "a third freezes", high, 200, 40000, distribution::Even, fleet_event::FreezeThird },
        { "cut in halves", high, 200, 40000, distribution::Even, fleet_event::CutInHalves },
        { "cut in halves after a quiet time", quietThenHigh, 200, 40000, distribution::Even, fleet_event::CutInHalves },
        { "the owner dies", high, 200, 40000, distribution::Even, fleet_event::OwnerDies },
        { "the owner dies, 0.5 of the rate", { { 0, 0.5 } }, 200, 3000, distribution::Even, fleet_event::OwnerDies },
        { "the owner restarts, 0.5 of the rate", { { 0, 0.5 } }, 200, 3000, distribution::Even, fleet_event::OwnerRestarts },
        { "limit lowered", high, 200, 40000, distribution::Even, fleet_event::LowerLimit },
    };
    std::string failures;
    for (const row& item : rows)
        failures += check(item, false);
    STRCMP_EQUAL("", failures.c_str());
}

TEST_GROUP(QuotaFirstStart) {};

TEST(QuotaFirstStart, NodesThatKnowFewOthersDoNotExceedTheAllowance)
{
    std::string failures;
    failures += check({ "first start of all, knowing few", { { 0, 0 }, { 9000, 7.5 } }, 200, 40000, distribution::Even, fleet_event::RestartAll, knowledge::Few, true }, false);
    STRCMP_EQUAL("", failures.c_str());
}
