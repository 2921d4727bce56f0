#include "Control/TableRelay.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Control {

namespace {

    /// Silence of better ranked relays after which a node takes their place. It grows with the rank, so that usually one
    /// node does.
    constexpr milliseconds takeoverDelay { 1200 };
    constexpr milliseconds takeoverDelayPerRank { 400 };
    constexpr size_t maxDelayedRanks = 5;
    /// Between two messages of a relay without changes, and after a change that others may follow at once.
    constexpr milliseconds announcementInterval { 400 };
    constexpr milliseconds changeDelay { 50 };

    milliseconds takeoverDelayOf(size_t rank)
    {
        return takeoverDelay + takeoverDelayPerRank * static_cast<int64_t>(std::min(rank, maxDelayedRanks));
    }

    size_t rankOf(const std::vector<Common::node_id>& ranking, const Common::node_id& node)
    {
        return static_cast<size_t>(std::find(ranking.begin(), ranking.end(), node) - ranking.begin());
    }

} // namespace

std::vector<Common::node_id> rankRelays(const Fleet::node_map& nodes, const Common::zone_name& zone)
{
    struct candidate {
        double cores;
        uint64_t score;
        Common::node_id id;
    };
    std::vector<candidate> candidates;
    for (const auto& [id, entry] : nodes) {
        if (entry.zone == zone && !entry.isLeaving)
            candidates.push_back({ entry.cores, Common::rendezvousScore("relay", id.value), id });
    }
    // A relay has more work than the other nodes, so larger machines come first.
    std::sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
        return left.cores != right.cores ? left.cores > right.cores : left.score > right.score;
    });
    std::vector<Common::node_id> ranking;
    ranking.reserve(candidates.size());
    for (candidate& item : candidates)
        ranking.push_back(std::move(item.id));
    return ranking;
}

bool updateRole(table_relay& relay, const Common::node_id& self, Common::instant now)
{
    const bool wasRelay = relay.isRelay;
    const size_t rank = rankOf(relay.ranking, self);
    // Nothing can have been heard before the start.
    if (relay.betterHeardAt == Common::instant {})
        relay.betterHeardAt = now;
    relay.isRelay = rank == 0 || now - relay.betterHeardAt > takeoverDelayOf(rank);
    return relay.isRelay != wasRelay;
}

void recordRelayHeard(table_relay& relay, const Common::node_id& self, const Common::node_id& from, Common::instant now)
{
    if (rankOf(relay.ranking, from) >= rankOf(relay.ranking, self))
        return;
    relay.betterRelay = from;
    relay.betterHeardAt = now;
}

std::optional<Common::node_id> currentRelay(const table_relay& relay, const Common::node_id& self, Common::instant now)
{
    if (relay.isRelay)
        return self;
    if (relay.betterRelay.value.empty() || now - relay.betterHeardAt > takeoverDelay)
        return {};
    return relay.betterRelay;
}

void recordAnswer(table_relay& relay, const Store::table_watch& watch, const Store::rows_answer& answer, const Store::watch_event& event, Common::instant now)
{
    if (!relay.isRelay || answer.outcome != Store::call_outcome::Done)
        return;
    Store::relay_outbox& outbox = relay.outboxes[watch.settings.table];
    if (event.isFullRead)
        return resetOutbox(outbox, watch);
    Store::recordChanges(outbox, answer.rows);
    if (event.hasChanged)
        relay.nextAnnouncement = std::min(relay.nextAnnouncement, now + changeDelay);
}

void resetOutboxes(table_relay& relay, const std::vector<const Store::table_watch*>& watches)
{
    for (const Store::table_watch* watch : watches)
        resetOutbox(relay.outboxes[watch->settings.table], *watch);
}

std::vector<Store::relayed_changes> takeAnnouncements(table_relay& relay, const std::vector<const Store::table_watch*>& watches, Common::instant now)
{
    std::vector<Store::relayed_changes> announcements;
    if (!relay.isRelay || now < relay.nextAnnouncement)
        return announcements;
    for (const Store::table_watch* watch : watches) {
        Store::relay_outbox& outbox = relay.outboxes[watch->settings.table];
        if (watch->isComplete && !watch->isFailing && watch->confirmedTime > outbox.confirmedAt)
            announcements.push_back(takeChanges(outbox, *watch));
    }
    if (!announcements.empty())
        relay.nextAnnouncement = now + announcementInterval;
    return announcements;
}

} // namespace Control
