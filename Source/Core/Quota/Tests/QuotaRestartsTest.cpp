/// @file
/// Accounts that stay under their limit, while the nodes of their fleet are restarted.

#include "FleetSimulation.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace QuotaSimulation;

namespace {

constexpr size_t fleetSizes[] = { 7, 20, 42, 80 };
constexpr const char* accounts[] = { "clerks", "inspectors", "bottlers", "shops" };
constexpr double rate = 60000;
constexpr int beginMs = 6000;
constexpr int endMs = 36000;
/// How long after its last restart a fleet is still measured.
constexpr int effectMs = 2000;
/// Between a planned stop and the end of the process; callers may use the node until then.
constexpr int leaveMs = 300;
/// From then on a stopping node takes no requests, and ends those that wait.
constexpr int refusesAfterMs = 150;
constexpr int downMs = 700;
/// The other nodes list a node this long after its start.
constexpr int listedAfterMs = 300;
constexpr size_t groups = 14;
constexpr double plannedPart = 0.97;
constexpr double crashPart = 0.95;

struct row {
    const char* name;
    int gapMs; ///< Between two groups of nodes.
    bool isPlanned; ///< The others know at once which nodes leave.
    double multiple; ///< Demand, of the rate.
    double required; ///< Part of the demand that must be granted.
};

void knowOthers(fleet& fleet, milliseconds now)
{
    for (size_t index = 0; index < fleet.nodes.size(); ++index) {
        if (fleet.nodes[index].isUp)
            fleet.know(index, now, fleet.nodes.size());
    }
}

void tellLeaving(fleet& fleet, size_t first, size_t end, milliseconds now)
{
    std::set<Common::node_id> leaving;
    for (size_t index = first; index < end; ++index)
        leaving.insert(fleet::idOf(index));
    for (simulated_node& node : fleet.nodes)
        setLeaving(node.state, leaving, fleet::at(now));
}

/// Stops and starts the nodes of one group.
void restartGroup(fleet& fleet, const row& item, size_t group, milliseconds sinceStop, milliseconds now)
{
    const size_t size = std::max<size_t>(1, fleet.nodes.size() / groups);
    const size_t first = std::min(fleet.nodes.size(), group * size);
    const size_t end = group + 1 == groups ? fleet.nodes.size() : std::min(fleet.nodes.size(), first + size);
    const int endsAfterMs = item.isPlanned ? leaveMs : 0;
    if (item.isPlanned && sinceStop.count() == 0)
        tellLeaving(fleet, first, end, now);
    for (size_t index = first; index < end; ++index) {
        if (item.isPlanned && sinceStop.count() == refusesAfterMs)
            fleet.nodes[index].isRefusing = true;
        if (sinceStop.count() == endsAfterMs)
            fleet.nodes[index].isUp = false;
        if (sinceStop.count() == endsAfterMs + downMs) {
            fleet.start(index, now, false);
            fleet.nodes[index].state.expectedNodes = fleet.nodes.size();
            fleet.know(index, now, fleet.nodes.size());
        }
    }
    const bool isListed = sinceStop.count() == endsAfterMs + downMs + listedAfterMs;
    const bool isUnlisted = item.isPlanned && sinceStop.count() == leaveMs;
    if (first < end && (isListed || isUnlisted))
        knowOthers(fleet, now);
}

double grantedPart(const row& item, size_t nodes, const char* account)
{
    fleet_plan plan { .nodes = nodes, .minTokens = 100, .maxTokens = 2900, .rate = rate, .burst = rate, .account = account };
    fleet fleet(plan, 7 + nodes);
    for (milliseconds now(0); now.count() < endMs; now += tick) {
        for (size_t group = 0; item.gapMs > 0 && group < groups; ++group) {
            const milliseconds sinceStop = now - milliseconds(beginMs + static_cast<int>(group) * item.gapMs);
            if (sinceStop.count() >= 0)
                restartGroup(fleet, item, group, sinceStop, now);
        }
        fleet.step(now, item.multiple);
    }
    CHECK_TEXT(fleet.partOfBound(rate, rate) <= 1, item.name);
    const int measuredUntilMs = item.gapMs == 0 ? endMs : beginMs + static_cast<int>(std::min(groups, nodes)) * item.gapMs + effectMs;
    return fleet.sum(fleet.granted, beginMs, measuredUntilMs) / fleet.sum(fleet.asked, beginMs, measuredUntilMs);
}

} // namespace

TEST_GROUP(QuotaRestarts) {};

TEST(QuotaRestarts, AccountsUnderTheirLimitAreNotRefusedWhileNodesAreRestarted)
{
    const row rows[] = {
        { "calm", 0, true, 0.5, 0.99 },
        { "calm, 0.9 of the rate", 0, true, 0.9, 0.99 },
        { "calm, 0.3 of the rate", 0, true, 0.3, 0.99 },
        { "planned restarts, 1 s apart", 1000, true, 0.5, plannedPart },
        { "planned restarts, 0.3 s apart", 300, true, 0.5, plannedPart },
        { "planned restarts, 0.3 s apart, 0.3 of the rate", 300, true, 0.3, plannedPart },
        { "crashes, 2 s apart", 2000, false, 0.5, crashPart },
    };
    std::string failures;
    for (const row& item : rows) {
        for (const size_t nodes : fleetSizes) {
            double sum = 0;
            for (const char* account : accounts)
                sum += grantedPart(item, nodes, account);
            const double granted = sum / std::size(accounts);
            const std::string condition = std::string(item.name) + ", " + std::to_string(nodes) + " nodes";
            std::printf("%-60s %.3f granted\n", condition.c_str(), granted);
            failures += granted >= item.required ? "" : condition + "; ";
        }
    }
    STRCMP_EQUAL("", failures.c_str());
}

TEST(QuotaRestarts, ALeavingOwnerAndItsSuccessorDoNotBothGrantTheWholeRate)
{
    constexpr int endsAfterMs = 6000;
    constexpr double demand = 7.5;
    for (const size_t nodes : fleetSizes) {
        for (const char* account : accounts) {
            fleet fleet({ .nodes = nodes, .minTokens = 100, .maxTokens = 2900, .rate = rate, .burst = rate, .account = account }, 7 + nodes);
            const Common::node_id owner = fleet.nodes[0].state.accounts[fleet.account()].owners.owner;
            for (milliseconds now(0); now.count() < beginMs + endsAfterMs; now += tick) {
                // Nodes of earlier builds don't heed who leaves.
                for (size_t index = 0; now.count() == beginMs && index < nodes; ++index) {
                    if (index % 2 == 0 || fleet::idOf(index) == owner)
                        setLeaving(fleet.nodes[index].state, { owner }, fleet::at(now));
                }
                fleet.step(now, demand);
            }
            CHECK_TEXT(fleet.partOfBound(rate, rate) <= 1, (std::string(account) + ", " + std::to_string(nodes) + " nodes").c_str());
        }
    }
}
