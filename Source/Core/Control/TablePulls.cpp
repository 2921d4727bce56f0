#include "Control/TablePulls.h"

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

namespace Control {

namespace {

    /// Longer than a relay's longest time between two confirmations (its query's wait, its pause and the way there and back),
    /// and short enough for several queries within the smallest bound.
    constexpr milliseconds maxUnconfirmedAge { 1500 };
    /// Peers whose own copy isn't newer don't answer, so another one is asked soon.
    constexpr milliseconds queryInterval { 250 };

    std::vector<Common::node_id> findPeers(const Fleet::node_map& nodes, const Common::node_id& self)
    {
        std::vector<Common::node_id> peers;
        for (const auto& [id, entry] : nodes) {
            if (id != self && !entry.isLeaving)
                peers.push_back(id);
        }
        return peers;
    }

} // namespace

std::optional<Common::node_id> choosePeerToAsk(table_pull& pull, const Store::table_watch& watch, const Fleet::node_map& nodes, const Common::node_id& self, const std::optional<Common::node_id>& relay, Common::instant now)
{
    const bool wasComplete = watch.confirmedAt != Common::instant {};
    const bool isRelay = relay && *relay == self;
    // A relay that the store answers is never behind its peers for long.
    if (!wasComplete || now - watch.confirmedAt <= maxUnconfirmedAge || (isRelay && !watch.isFailing)) {
        pull = {};
        return {};
    }
    if (now < pull.nextQuery)
        return {};
    pull.nextQuery = now + queryInterval;
    const size_t attempt = pull.queries++;
    if (attempt == 0 && relay && !isRelay)
        return relay;
    const std::vector<Common::node_id> peers = findPeers(nodes, self);
    if (peers.empty())
        return {};
    // Nodes that begin to ask at the same moment ask different peers.
    return peers[Common::hash64(self.value + ":" + std::to_string(attempt)) % peers.size()];
}

void queryPeers(table_pulls& pulls, const std::vector<const Store::table_watch*>& watches, const std::optional<Common::node_id>& relay, Common::instant now)
{
    if (!pulls.outlets.requestTableState)
        return;
    for (const Store::table_watch* watch : watches) {
        const auto peer = choosePeerToAsk(pulls.byTable[watch->settings.table], *watch, pulls.context.nodes, pulls.context.settings.self.node, relay, now);
        if (!peer)
            continue;
        Common::countMetric("filbertreel_table_state_queries_total");
        pulls.outlets.requestTableState(*peer, Store::makeStateQuery(*watch));
    }
}

void answerPeer(const table_pulls& pulls, const Store::table_watch& watch, const table_state_requested& message)
{
    auto state = Store::answerStateQuery(watch, message.query);
    if (!state)
        return;
    Common::countMetric("filbertreel_table_states_sent_total");
    pulls.outlets.sendTableState(message.from, std::move(*state));
}

} // namespace Control
