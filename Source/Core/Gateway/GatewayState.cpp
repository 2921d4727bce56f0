#include "Gateway/GatewayState.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Gateway/EndpointZones.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

    /// Interval of reports of grants, usage and demand in a small cluster. Nodes see each other's use of the allowances
    /// with this delay.
    constexpr milliseconds minReportInterval { 250 };
    /// Added to the time after which a peer counts as silent, as reports arrive with varying delay.
    constexpr milliseconds reportSlack { 150 };
    /// The interval is the minimum multiplied by the number of nodes over this, so that the rate of reports per node stays
    /// bounded.
    constexpr size_t nodesPerIntervalMultiple = 20;
    /// A peer counts as silent after this many consecutive missed reports.
    constexpr int missedReports = 3;

} // namespace

gateway_state makeGatewayState(const Fleet::node_facts& facts, uint64_t seed)
{
    gateway_state made;
    made.grace = facts.bounds.grace;
    made.scheduler.ownLocation = { facts.zone, facts.region, facts.regions };
    made.scheduler.random = Common::random_source(seed);
    made.quarantine.self = facts.node;
    made.endpointLimits.self = facts.node;
    made.quota.self = facts.node;
    made.quota.arePeersKnown = false;
    made.quota.random = Common::random_source(seed);
    made.quota.startsEmpty = !facts.isFirstStart;
    made.coldOvershoot = facts.bounds.coldOvershoot;
    made.coldSlack = facts.bounds.coldSlack;
    made.serviceRetries.rules = { facts.bounds.retryRatio, facts.bounds.retrySlack, facts.bounds.retryWindow };
    return made;
}

milliseconds currentReportInterval(const gateway_state& state)
{
    return minReportInterval * std::max<int64_t>(1, static_cast<int64_t>(state.serviceRetries.nodes / nodesPerIntervalMultiple));
}

void applyMessage(gateway_state& state, const catalog_update& message, Common::instant now)
{
    if (state.catalog && message.catalog->version <= state.catalog->version)
        return;
    state.catalog = message.catalog;
    Quota::setAllowances(state.quota, *state.catalog, now);
    limitColdEndpoints(state, now);
    Common::setMetric("filbertreel_catalog_version", static_cast<double>(state.catalog->version));
    Common::logEvent(Common::log_level::Info, "catalog_in_force", { { "version", state.catalog->version }, { "routes", state.catalog->routes.size() }, { "accounts", state.catalog->accounts.size() }, { "requires_keys", state.catalog->requiresKeys } });
}

void applyMessage(gateway_state& state, const endpoints_update& message, Common::instant now)
{
    for (const Quarantine::unanswered_request& request : Quarantine::takeVanished(state.crashEvidence, message.endpoints, now))
        Quarantine::recordCrash(state.quarantine, request, now);
    state.quarantine.history.endpoints.clear();
    for (const auto& [id, endpoint] : message.endpoints) {
        ++state.quarantine.history.endpoints[endpoint.service];
        Scheduling::updateEndpoint(state.scheduler, endpoint, now);
    }
    std::vector<Common::endpoint_id> gone;
    for (const auto& [id, endpoint] : state.scheduler.endpoints) {
        if (!message.endpoints.contains(id))
            gone.push_back(id);
    }
    for (const Common::endpoint_id& id : gone)
        Scheduling::removeEndpoint(state.scheduler, id);
    EndpointLimits::retainEndpoints(state.endpointLimits, message.endpoints);
    limitColdEndpoints(state, now);
}

void applyMessage(gateway_state& state, const peers_update& message, Common::instant now)
{
    state.quota.knowsWholeFleet = state.quota.knowsWholeFleet || message.isWholeFleet;
    Quota::setPeers(state.quota, message.peers, now);
    Quota::setLeaving(state.quota, message.leaving, now);
    state.quarantine.peers = message.peers;
    state.endpointLimits.peers = message.peers;
    state.serviceRetries.nodes = message.peers.size() + 1;
    state.quota.peerReportTimeout = missedReports * currentReportInterval(state) + reportSlack;
}

void applyMessage(gateway_state& state, const fleet_size_update& message, Common::instant)
{
    state.quota.expectedNodes = message.nodes;
}

void applyMessage(gateway_state& state, const grants_received& message, Common::instant now)
{
    Quota::applyReport(state.quota, message.report, now);
}

void applyMessage(gateway_state& state, const version_share_update& message, Common::instant)
{
    state.versionShares[message.service] = message;
}

void applyMessage(gateway_state& state, const quarantine_statement_received& message, Common::instant now)
{
    Quarantine::applyStatement(state.quarantine, message.from, message.statement, now);
}

void applyMessage(gateway_state& state, const quarantines_read& message, Common::instant now)
{
    Quarantine::applyStored(state.quarantine, message.items, now);
}

void applyMessage(gateway_state& state, const endpoint_limit_received& message, Common::instant now)
{
    EndpointLimits::applyMessage(state.endpointLimits, message.from, message.message, now);
}

void applyMessage(gateway_state& state, const lease_received& message, Common::instant now)
{
    Quota::applyMessage(state.quota, message.from, message.message, now);
}

void applyMessage(gateway_state& state, const relay_peers_update& message, Common::instant)
{
    state.relayPeers = message.peers;
    std::erase_if(state.unusableRelays, [&message](const auto& entry) {
        return std::none_of(message.peers.begin(), message.peers.end(), [&entry](const relay_peer& peer) { return peer.node == entry.first; });
    });
}

void applyMessage(gateway_state& state, const evacuations_update& message, Common::instant now)
{
    setEvacuatedZones(state, message.zones, now);
}

void applyMessage(gateway_state& state, const leave_started&, Common::instant now)
{
    if (!state.leavingSince)
        state.leavingSince = now;
}

interval_report collectReport(gateway_state& state, const Fleet::node_facts& facts, Common::incarnation_number incarnation, size_t inFlight, Common::instant now)
{
    interval_report report = std::exchange(state.interval, {});
    report.grants = Quota::makeReport(state.quota, now);
    report.grants.node = facts.node;
    report.grants.incarnation = incarnation;
    report.demand.node = facts.node;
    report.demand.zone = facts.zone;
    report.demand.interval = currentReportInterval(state);
    report.inFlight = inFlight;
    if (!state.evacuatedZones.empty())
        Common::setMetric("filbertreel_requests_in_evacuated_zones", static_cast<double>(countInEvacuatedZones(state)));
    return report;
}

} // namespace Gateway
