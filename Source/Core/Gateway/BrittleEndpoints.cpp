#include "Gateway/BrittleEndpoints.h"

#include "Common/Hash.h"
#include "Common/Log.h"

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

    /// A node that has had a rejection sends the endpoint nothing for this time.
    constexpr milliseconds pauseAfterRejection { 1000 };

    size_t countNodes(const gateway_state& state)
    {
        return state.quarantine.peers.size() + 1;
    }

    /// @return how many nodes may use an endpoint, so that one rejection for each is borne.
    size_t countUsers(const gateway_state& state, double rejections)
    {
        return std::min(countNodes(state), static_cast<size_t>(std::max(1.0, std::floor(rejections))));
    }

    /// Responses on their way when a rejection arrives may be rejections as well, so no more than the node's part may wait.
    size_t maxWaiting(const gateway_state& state, double rejections)
    {
        return static_cast<size_t>(std::max(1.0, std::floor(rejections / static_cast<double>(countNodes(state)))));
    }

    /// @return whether this node is one of those that may use the endpoint, by rendezvous hashing.
    bool isUser(const gateway_state& state, const Common::endpoint_id& endpoint, double rejections)
    {
        const uint64_t own = Common::rendezvousScore(endpoint.value, state.quarantine.self.value);
        const auto before = std::count_if(state.quarantine.peers.begin(), state.quarantine.peers.end(), [&](const Common::node_id& peer) { return Common::rendezvousScore(endpoint.value, peer.value) > own; });
        return static_cast<size_t>(before) < countUsers(state, rejections);
    }

    const Scheduling::declaration* findBrittle(const gateway_state& state, const Common::endpoint_id& id, Fleet::start_time started)
    {
        const Scheduling::declaration* declared = Scheduling::findDeclaration(state.scheduler.declarations, id, started);
        return declared && declared->bearableRejections ? declared : nullptr;
    }

} // namespace

void applyBrittleness(gateway_state& state, const proxied_call& call, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    const std::optional<stated_limit>& stated = current.response.brittle;
    const bool canWithdraw = current.response.hasProofOfOrigin && !current.response.hasNotRun;
    const bool isInvalid = stated && (!stated->perSecond || *stated->perSecond > EndpointLimits::maxPerSecond);
    if ((!stated && !canWithdraw) || isInvalid)
        return;
    const std::optional<double> rejections = stated ? stated->perSecond : std::nullopt;
    if (Scheduling::declareBrittle(state.scheduler.declarations, current.placement.endpoint, current.placement.started, rejections, now))
        Common::logEvent(Common::log_level::Info, "endpoint_brittle", { { "endpoint", current.placement.endpoint.value }, { "is_brittle", rejections.has_value() }, { "rejections_per_s", rejections.value_or(0) } });
}

void spareAfterRejection(gateway_state& state, const proxied_call& call, attempt_end outcome, Common::instant now)
{
    const attempt& current = *call.currentAttempt;
    const Scheduling::declaration* declared = findBrittle(state, current.placement.endpoint, current.placement.started);
    if (outcome != attempt_end::NotRun || !declared)
        return;
    Scheduling::declareBackoff(state.scheduler.declarations, current.placement.endpoint, current.placement.started, now + pauseAfterRejection, now);
}

std::set<Common::endpoint_id> findFullBrittle(const gateway_state& state, const Common::service_name& service)
{
    std::set<Common::endpoint_id> full;
    for (const auto& [id, declared] : state.scheduler.declarations) {
        const auto endpoint = state.scheduler.endpoints.find(id);
        if (!declared.bearableRejections || endpoint == state.scheduler.endpoints.end() || endpoint->second.facts.service != service)
            continue;
        if (endpoint->second.facts.started != declared.started)
            continue;
        const bool isFull = Scheduling::countUnanswered(state.scheduler, id) >= maxWaiting(state, *declared.bearableRejections);
        if (isFull || !isUser(state, id, *declared.bearableRejections))
            full.insert(id);
    }
    return full;
}

std::set<Common::node_id> findUsers(const gateway_state& state, const std::vector<Common::endpoint_id>& endpoints)
{
    std::set<Common::node_id> users;
    for (const Common::endpoint_id& id : endpoints) {
        const auto endpoint = state.scheduler.endpoints.find(id);
        const Scheduling::declaration* declared = endpoint == state.scheduler.endpoints.end() ? nullptr : findBrittle(state, id, endpoint->second.facts.started);
        if (!declared || isUser(state, id, *declared->bearableRejections))
            continue;
        std::vector<std::pair<uint64_t, Common::node_id>> ranked;
        for (const Common::node_id& peer : state.quarantine.peers)
            ranked.emplace_back(Common::rendezvousScore(id.value, peer.value), peer);
        std::sort(ranked.rbegin(), ranked.rend());
        ranked.resize(std::min(ranked.size(), countUsers(state, *declared->bearableRejections)));
        for (const auto& [score, node] : ranked)
            users.insert(node);
    }
    return users;
}

bool hasFullBrittle(const gateway_state& state, const std::vector<Common::endpoint_id>& endpoints)
{
    return std::any_of(endpoints.begin(), endpoints.end(), [&state](const Common::endpoint_id& id) {
        const auto endpoint = state.scheduler.endpoints.find(id);
        return endpoint != state.scheduler.endpoints.end() && findBrittle(state, id, endpoint->second.facts.started);
    });
}

bool isAtBrittleEndpoint(const gateway_state& state, const proxied_call& call)
{
    const attempt& current = *call.currentAttempt;
    return findBrittle(state, current.placement.endpoint, current.placement.started) != nullptr;
}

} // namespace Gateway
