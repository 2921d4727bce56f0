#include "Gateway/GatewayState.h"

#include "Common/Metrics.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

    /// How often grants, usage and demand are reported: the allowances are shared within this time.
    constexpr milliseconds reportInterval { 250 };
    constexpr milliseconds reportSlack { 150 };
    constexpr size_t nodesPerStretch = 20;
    /// A peer is silent when so many of its reports in a row are missing.
    constexpr int missedReports = 3;

} // namespace

gateway_state makeGatewayState(const Fleet::node_facts& facts, uint64_t seed)
{
    gateway_state made;
    made.grace = facts.bounds.grace;
    made.scheduler.here = { facts.zone, facts.region, facts.regions };
    made.scheduler.random = Common::random_source(seed);
    made.quota.startsEmpty = !facts.isFirstStart;
    made.repeats.rules = { facts.bounds.repeatRatio, facts.bounds.repeatSlack, facts.bounds.repeatWindow };
    return made;
}

milliseconds reportWait(const gateway_state& state)
{
    return reportInterval * std::max<int64_t>(1, static_cast<int64_t>(state.repeats.nodes / nodesPerStretch));
}

void learn(gateway_state& state, const catalog_known& message, Common::instant now)
{
    if (state.catalog && message.catalog->version <= state.catalog->version)
        return;
    state.catalog = message.catalog;
    Quota::setAllowances(state.quota, *state.catalog, now);
    Common::setMetric("filbertreel_catalog_version", static_cast<double>(state.catalog->version));
}

void learn(gateway_state& state, const endpoints_known& message, Common::instant now)
{
    for (const auto& [id, item] : message.endpoints)
        Scheduling::noteEndpoint(state.scheduler, item, now);
    std::vector<Common::endpoint_id> gone;
    for (const auto& [id, item] : state.scheduler.endpoints) {
        if (!message.endpoints.contains(id))
            gone.push_back(id);
    }
    for (const Common::endpoint_id& id : gone)
        Scheduling::dropEndpoint(state.scheduler, id);
}

void learn(gateway_state& state, const peers_known& message, Common::instant now)
{
    Quota::setPeers(state.quota, message.peers, now);
    state.repeats.nodes = message.peers.size() + 1;
    state.quota.silence = missedReports * reportWait(state) + reportSlack;
}

void learn(gateway_state& state, const grants_heard& message, Common::instant now)
{
    Quota::hearReport(state.quota, message.report, now);
}

void learn(gateway_state& state, const version_share_known& message, Common::instant)
{
    state.versionShares[message.service] = message;
}

void learn(gateway_state& state, const leave_begun&, Common::instant now)
{
    if (!state.leavingSince)
        state.leavingSince = now;
}

interval_report takeReport(gateway_state& state, const Fleet::node_facts& facts, Common::incarnation_number incarnation, size_t inFlight, Common::instant now)
{
    interval_report report = std::exchange(state.interval, {});
    report.grants = Quota::makeReport(state.quota, now);
    report.grants.node = facts.node;
    report.grants.incarnation = incarnation;
    report.demand.node = facts.node;
    report.demand.zone = facts.zone;
    report.demand.interval = reportWait(state);
    report.inFlight = inFlight;
    return report;
}

} // namespace Gateway
