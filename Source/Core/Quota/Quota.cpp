#include "Quota/Quota.h"

#include <algorithm>

namespace Quota {

namespace {

    constexpr milliseconds shortestRetryAfter { 250 };
    constexpr milliseconds longestRetryAfter { 5000 };
    /// Weight of the latest report interval in the moving average of demand.
    constexpr double demandWeight = 0.4;
    /// At or above this share of its burst an account is far from its limit, and a node may grant from the whole level.
    constexpr double ampleShareOfBurst = 0.6;
    /// A node may grant at least this part of an equal share (1 / number of nodes), even if its recent demand is lower.
    constexpr double minShareOfEqual = 0.5;

    double toSeconds(Common::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    double nodeCount(const quota_state& state)
    {
        return static_cast<double>(state.peers.size() + 1);
    }

    size_t countSilentPeers(const quota_state& state, Common::instant now)
    {
        size_t silent = 0;
        for (const auto& [id, peer] : state.peers) {
            if (now - peer.lastReportAt > state.peerReportTimeout)
                ++silent;
        }
        return silent;
    }

    /// Refills by the rate, less an equal share for each silent peer: it may still grant that much.
    void refill(const quota_state& state, account_bucket& bucket, Common::instant now)
    {
        const double seconds = std::max(0.0, toSeconds(now - bucket.refilledAt));
        bucket.refilledAt = now;
        const double silentShare = static_cast<double>(countSilentPeers(state, now)) / nodeCount(state);
        const double gain = bucket.allowed.perSecond * seconds * (1 - silentShare);
        bucket.level = std::min(bucket.allowed.burst, bucket.level + gain);
    }

    /// @return the part of the level that this node may grant, 0 to 1, in proportion to its share of the demand.
    double ownShare(const quota_state& state, const account_bucket& bucket)
    {
        double othersDemand = 0;
        for (const auto& [id, peer] : bucket.peers)
            othersDemand += peer.demandPerSecond;
        const double ownDemand = std::max(bucket.demandPerSecond, bucket.askedSinceReport);
        const double equalShare = 1 / nodeCount(state);
        if (ownDemand + othersDemand <= 0)
            return equalShare;
        return std::max(minShareOfEqual * equalShare, ownDemand / (ownDemand + othersDemand));
    }

    bool isWithinAllowance(const quota_state& state, const account_bucket& bucket, double amount)
    {
        if (bucket.level <= 0)
            return false;
        if (bucket.level >= ampleShareOfBurst * bucket.allowed.burst && bucket.level >= amount)
            return true;
        // The first request after a report may overdraw the bucket. The next grant needs a level above zero again.
        if (bucket.grantedSinceReport <= 0)
            return true;
        return bucket.grantedSinceReport + amount <= bucket.level * ownShare(state, bucket);
    }

    milliseconds refillDelay(const account_bucket& bucket, double amount)
    {
        const double missing = std::max(0.0, std::min(amount, bucket.allowed.burst) - bucket.level);
        const auto wait = milliseconds(static_cast<int64_t>(1000 * missing / bucket.allowed.perSecond));
        return std::clamp(wait, shortestRetryAfter, longestRetryAfter);
    }

} // namespace

void setAllowances(quota_state& state, const Catalog::catalog& item, Common::instant now)
{
    std::set<Common::account_id> present;
    for (const Catalog::account& account : item.accounts) {
        present.insert(account.id);
        const auto [entry, isNew] = state.accounts.try_emplace(account.id);
        account_bucket& bucket = entry->second;
        if (isNew) {
            bucket.level = state.startsEmpty ? 0 : account.allowed.burst;
            bucket.refilledAt = now;
        } else {
            refill(state, bucket, now);
        }
        bucket.allowed = account.allowed;
        bucket.level = std::min(bucket.level, account.allowed.burst);
    }
    std::erase_if(state.accounts, [&present](const auto& entry) { return !present.contains(entry.first); });
}

void setPeers(quota_state& state, const std::set<Common::node_id>& peers, Common::instant now)
{
    for (const Common::node_id& id : peers)
        state.peers.try_emplace(id, peer_state { {}, now });
    std::erase_if(state.peers, [&peers](const auto& entry) { return !peers.contains(entry.first); });
    for (auto& [id, bucket] : state.accounts)
        std::erase_if(bucket.peers, [&peers](const auto& entry) { return !peers.contains(entry.first); });
}

grant tryConsume(quota_state& state, const Common::account_id& account, double amount, Common::instant now)
{
    const auto found = state.accounts.find(account);
    if (found == state.accounts.end() || found->second.allowed.perSecond <= 0)
        return {};
    account_bucket& bucket = found->second;
    refill(state, bucket, now);
    bucket.askedSinceReport += amount;
    if (!isWithinAllowance(state, bucket, amount)) {
        bucket.hasRefused = true;
        return { false, refillDelay(bucket, amount), bucket.level, ownShare(state, bucket) };
    }
    bucket.level -= amount;
    bucket.granted += amount;
    bucket.grantedSinceReport += amount;
    return {};
}

void refund(quota_state& state, const Common::account_id& account, double amount)
{
    const auto found = state.accounts.find(account);
    if (found == state.accounts.end())
        return;
    account_bucket& bucket = found->second;
    bucket.level = std::min(bucket.allowed.burst, bucket.level + amount);
    bucket.granted -= amount;
    bucket.grantedSinceReport = std::max(0.0, bucket.grantedSinceReport - amount);
}

std::vector<limited_account> describeLimited(const quota_state& state, Common::instant now)
{
    std::vector<limited_account> found;
    for (const auto& [id, bucket] : state.accounts) {
        const bool isOverdrawn = bucket.level < 0 && bucket.askedSinceReport > 0;
        if (bucket.hasRefused || isOverdrawn)
            found.push_back({ id, bucket.level, bucket.grantedSinceReport, bucket.askedSinceReport, ownShare(state, bucket), state.peers.size(), countSilentPeers(state, now) });
    }
    return found;
}

node_report makeReport(quota_state& state, Common::instant now)
{
    const double seconds = std::max(0.001, toSeconds(now - state.reportedAt));
    state.reportedAt = now;
    node_report report;
    for (auto& [id, bucket] : state.accounts) {
        const double demand = bucket.askedSinceReport / seconds;
        bucket.demandPerSecond += (demand - bucket.demandPerSecond) * demandWeight;
        bucket.askedSinceReport = 0;
        bucket.hasRefused = false;
        bucket.grantedSinceReport = 0;
        report.accounts.push_back({ id, bucket.granted, bucket.demandPerSecond });
    }
    return report;
}

void applyReport(quota_state& state, const node_report& report, Common::instant now)
{
    const auto peer = state.peers.find(report.node);
    if (peer == state.peers.end())
        return;
    const bool isFirst = peer->second.incarnation.value == 0;
    const bool isRestarted = !isFirst && peer->second.incarnation != report.incarnation;
    // While the peer was silent, refill() already deducted an equal share for it.
    const bool wasSilent = now - peer->second.lastReportAt > state.peerReportTimeout;
    peer->second = { report.incarnation, now };
    for (const granted_total& item : report.accounts) {
        const auto found = state.accounts.find(item.account);
        if (found == state.accounts.end())
            continue;
        account_bucket& bucket = found->second;
        refill(state, bucket, now);
        peer_grants& grants = bucket.peers[report.node];
        const double previousTotal = isRestarted ? 0 : grants.total;
        if (!isFirst && !wasSilent)
            bucket.level -= item.total - previousTotal;
        grants = { item.total, item.demandPerSecond };
    }
}

} // namespace Quota
