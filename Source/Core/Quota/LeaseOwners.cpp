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

    std::set<Common::node_id> leasingNodes(const quota_state& state)
    {
        std::set<Common::node_id> found { state.self };
        for (const auto& [id, peer] : state.peers) {
            if (peer.isLeasing)
                found.insert(id);
        }
        return found;
    }

    /// @return the nodes that are to own accounts: those that neither leave nor were listed lately; all if there are none.
    std::set<Common::node_id> chooseCandidates(const quota_state& state, const std::set<Common::node_id>& all, Common::instant now)
    {
        std::set<Common::node_id> found;
        if (!state.leavingSince && isSettled(state, now))
            found.insert(state.self);
        for (const auto& [id, peer] : state.peers) {
            const bool isSettledPeer = peer.listedSince == Common::instant() || now - peer.listedSince >= settlingTime;
            if (peer.isLeasing && !peer.isLeaving && isSettledPeer)
                found.insert(id);
        }
        return found.empty() ? all : found;
    }

    Common::ranked_owners rank(const Common::account_id& account, std::set<Common::node_id> nodes)
    {
        const Common::node_id first = *nodes.begin();
        nodes.erase(nodes.begin());
        return Common::rankOwners(account.value, first, nodes);
    }

    std::optional<Common::instant> findNextOwnerChange(const quota_state& state, Common::instant now)
    {
        std::optional<Common::instant> next;
        const auto consider = [&next, now](Common::instant at) {
            if (at > now && (!next || at < *next))
                next = at;
        };
        if (!isSettled(state, now))
            consider(state.peersKnownSince + settlingTime);
        if (state.leavingSince)
            consider(*state.leavingSince + settlingTime);
        for (const auto& [id, peer] : state.peers) {
            if (peer.listedSince != Common::instant())
                consider(peer.listedSince + settlingTime);
        }
        return next;
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

    /// @param isAskSettled whether the asking node may rely on the peers that it knows.
    double ownerShare(const quota_state& state, bool isAskSettled, size_t heard, Common::instant now)
    {
        if (2 * heard < state.peers.size() + 1)
            return backupShare;
        if (isSettled(state, now))
            return 1;
        // As many nodes as the fleet has may each take themselves for the owner.
        return isAskSettled ? settlingShare : 1.0 / static_cast<double>(std::max(state.expectedNodes, state.peers.size() + 1));
    }

    double shareOfBackup(const quota_state& state, const account_lease& lease, size_t heard, Common::instant now)
    {
        const auto owner = state.peers.find(lease.owners.owner);
        const bool isOwnerHeard = owner == state.peers.end() || isHeard(state, owner->second, now);
        return !isOwnerHeard && 2 * heard > state.peers.size() + 1 ? takeoverShare : backupShare;
    }

    granting_part partOf(const quota_state& state, const account_lease& lease, const lease_bucket& bucket, bool isAskSettled, Common::instant now)
    {
        size_t heard = 1;
        for (const auto& [id, peer] : state.peers)
            heard += isHeard(state, peer, now) ? 1 : 0;
        return { lease.allowed, bucket.isBackup ? shareOfBackup(state, lease, heard, now) : ownerShare(state, isAskSettled, heard, now) };
    }

} // namespace

bool isSettled(const quota_state& state, Common::instant now)
{
    return !state.startsEmpty || state.knowsWholeFleet || !isJustStarted(state, now);
}

bool isJustStarted(const quota_state& state, Common::instant now)
{
    return now - state.peersKnownSince < settlingTime;
}

void updateOwners(quota_state& state, Common::instant now)
{
    const std::set<Common::node_id> all = leasingNodes(state);
    const std::set<Common::node_id> candidates = chooseCandidates(state, all, now);
    const bool hasLeftOwnership = state.leavingSince && now - *state.leavingSince >= settlingTime;
    state.nextOwnerChange = findNextOwnerChange(state, now);
    for (auto& [id, lease] : state.accounts) {
        const bool isFirstView = lease.owners.owner.value.empty() && lease.owners.backup.value.empty() && !state.buckets.contains(id);
        lease.owners = rank(id, candidates);
        // Nodes that don't know yet that this one leaves, or that all were listed lately, ask by this ranking.
        const Common::ranked_owners ofAll = hasLeftOwnership ? lease.owners : rank(id, all);
        const bool isOwner = lease.owners.owner == state.self || ofAll.owner == state.self;
        const bool isBackup = !isOwner && (lease.owners.backup == state.self || ofAll.backup == state.self);
        const auto found = state.buckets.find(id);
        if (found != state.buckets.end() && ((!isOwner && !isBackup) || found->second.isBackup != isBackup))
            state.buckets.erase(found);
        if (isOwner || isBackup)
            state.buckets.try_emplace(id, makeBucket(state, lease, isBackup, isFirstView, now));
    }
    std::erase_if(state.buckets, [&state](const auto& entry) { return !state.accounts.contains(entry.first); });
}

void refreshOwners(quota_state& state, Common::instant now)
{
    if (state.nextOwnerChange && now >= *state.nextOwnerChange)
        updateOwners(state, now);
}

std::optional<lease_answer> answerForAll(quota_state& state, const Common::node_id& node, const lease_ask& ask, Common::instant now)
{
    const auto bucket = state.buckets.find(ask.account);
    const auto lease = state.accounts.find(ask.account);
    if (bucket == state.buckets.end() || lease == state.accounts.end())
        return {};
    // Nodes that have all been started anew may know too few of each other, and each take another one for the owner.
    if (!ask.isSettled && !isSettled(state, now) && state.expectedNodes == 0)
        return {};
    return answerAsk(bucket->second, partOf(state, lease->second, bucket->second, ask.isSettled, now), node, ask, now);
}

void deductUnleased(quota_state& state, const Common::account_id& account, double amount, Common::instant now)
{
    const auto bucket = state.buckets.find(account);
    const auto lease = state.accounts.find(account);
    if (bucket == state.buckets.end() || lease == state.accounts.end())
        return;
    refill(bucket->second, partOf(state, lease->second, bucket->second, true, now), now);
    bucket->second.level -= amount;
}

} // namespace Quota
