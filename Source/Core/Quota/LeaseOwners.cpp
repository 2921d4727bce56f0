#include "Quota/LeaseOwners.h"

#include <algorithm>

namespace Quota {

namespace {

    /// Part of the rate that the node ranked next grants to nodes that get no answer from the owner, and an owner that
    /// hears fewer than half of the nodes.
    constexpr double backupShare = 0.1;
    /// Part that the node ranked next grants while it hears most nodes, but not the owner.
    constexpr double takeoverShare = 0.9;
    /// Part that an owner which has been started anew grants at first, to nodes that have known it for longer.
    constexpr double settlingShare = 0.25;
    constexpr milliseconds settlingTime { 1000 };
    /// Part of the burst that an owner grants at the fleet's first start, while nodes may see different owners.
    constexpr double firstBurstShare = 0.25;

    std::set<Common::node_id> leasingPeers(const quota_state& state)
    {
        std::set<Common::node_id> found;
        for (const auto& [id, peer] : state.peers) {
            if (peer.isLeasing)
                found.insert(id);
        }
        return found;
    }

    lease_bucket makeBucket(const quota_state& state, const account_lease& lease, bool isBackup, bool isFirstView, Common::instant now)
    {
        lease_bucket bucket;
        bucket.isBackup = isBackup;
        bucket.refilledAt = now;
        if (isFirstView && !state.startsEmpty && !isBackup)
            bucket.level = lease.allowed.burst * (state.peers.empty() ? 1 : firstBurstShare);
        return bucket;
    }

    bool isHeard(const quota_state& state, const peer_state& peer, Common::instant now)
    {
        return now - peer.lastReportAt <= state.peerReportTimeout;
    }

    double ownerShare(const quota_state& state, size_t heard, Common::instant now)
    {
        if (2 * heard < state.peers.size() + 1)
            return backupShare;
        return isSettled(state, now) ? 1 : settlingShare;
    }

    double shareOfBackup(const quota_state& state, const account_lease& lease, size_t heard, Common::instant now)
    {
        const auto owner = state.peers.find(lease.owners.owner);
        const bool isOwnerHeard = owner == state.peers.end() || isHeard(state, owner->second, now);
        return !isOwnerHeard && 2 * heard > state.peers.size() + 1 ? takeoverShare : backupShare;
    }

    granting_part partOf(const quota_state& state, const account_lease& lease, const lease_bucket& bucket, Common::instant now)
    {
        size_t heard = 1;
        for (const auto& [id, peer] : state.peers)
            heard += isHeard(state, peer, now) ? 1 : 0;
        return { lease.allowed, bucket.isBackup ? shareOfBackup(state, lease, heard, now) : ownerShare(state, heard, now) };
    }

} // namespace

bool isSettled(const quota_state& state, Common::instant now)
{
    return !state.startsEmpty || state.knowsWholeFleet || now - state.peersKnownSince >= settlingTime;
}

void updateOwners(quota_state& state, Common::instant now)
{
    const std::set<Common::node_id> peers = leasingPeers(state);
    for (auto& [id, lease] : state.accounts) {
        const bool isFirstView = lease.owners.owner.value.empty() && lease.owners.backup.value.empty() && !state.buckets.contains(id);
        lease.owners = Common::rankOwners(id.value, state.self, peers);
        const bool isOwner = lease.owners.owner == state.self;
        const bool isBackup = !isOwner && lease.owners.backup == state.self;
        const auto found = state.buckets.find(id);
        if (found != state.buckets.end() && ((!isOwner && !isBackup) || found->second.isBackup != isBackup))
            state.buckets.erase(found);
        if (isOwner || isBackup)
            state.buckets.try_emplace(id, makeBucket(state, lease, isBackup, isFirstView, now));
    }
    std::erase_if(state.buckets, [&state](const auto& entry) { return !state.accounts.contains(entry.first); });
}

std::optional<lease_answer> answerForAll(quota_state& state, const Common::node_id& node, const lease_ask& ask, Common::instant now)
{
    const auto bucket = state.buckets.find(ask.account);
    const auto lease = state.accounts.find(ask.account);
    if (bucket == state.buckets.end() || lease == state.accounts.end())
        return {};
    // Nodes that have all been started anew may know too few of each other, and each take another one for the owner.
    if (!ask.isSettled && !isSettled(state, now))
        return {};
    return answerAsk(bucket->second, partOf(state, lease->second, bucket->second, now), node, ask, now);
}

void deductUnleased(quota_state& state, const Common::account_id& account, double amount, Common::instant now)
{
    const auto bucket = state.buckets.find(account);
    const auto lease = state.accounts.find(account);
    if (bucket == state.buckets.end() || lease == state.accounts.end())
        return;
    refill(bucket->second, partOf(state, lease->second, bucket->second, now), now);
    bucket->second.level -= amount;
}

} // namespace Quota
