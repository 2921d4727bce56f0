#include "Quota/Quota.h"

#include <algorithm>

namespace Quota {

namespace {

    constexpr milliseconds shortestRetryAfter { 250 };
    constexpr milliseconds longestRetryAfter { 5000 };
    constexpr double demandWeight = 0.4;
    /// Above this share of its burst an account is not near its limit, and nodes need not share what is left.
    constexpr double easyShareOfBurst = 0.6;
    /// The part of an equal share that a node may use however little it was asked for lately.
    constexpr double leastShareOfEqual = 0.5;

    double toSeconds(Common::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    double nodeCount(const ledger& state)
    {
        return static_cast<double>(state.peers.size() + 1);
    }

    size_t silentPeers(const ledger& state, Common::instant now)
    {
        size_t silent = 0;
        for (const auto& [id, peer] : state.peers) {
            if (now - peer.heardAt > state.silence)
                ++silent;
        }
        return silent;
    }

    /// Refills by the rate, less what silent peers may be granting: each may use its equal share.
    void refill(const ledger& state, account_bucket& bucket, Common::instant now)
    {
        const double seconds = std::max(0.0, toSeconds(now - bucket.refilledAt));
        bucket.refilledAt = now;
        const double silentShare = static_cast<double>(silentPeers(state, now)) / nodeCount(state);
        const double gain = bucket.allowed.perSecond * seconds * (1 - silentShare);
        bucket.level = std::min(bucket.allowed.burst, bucket.level + gain);
    }

    /// @return this node's part of what is left, by demand.
    double ownShare(const ledger& state, const account_bucket& bucket)
    {
        double others = 0;
        for (const auto& [id, peer] : bucket.peers)
            others += peer.demandPerSecond;
        const double own = std::max(bucket.demandPerSecond, bucket.askedSinceReport);
        const double equal = 1 / nodeCount(state);
        if (own + others <= 0)
            return equal;
        return std::max(leastShareOfEqual * equal, own / (own + others));
    }

    bool isWithin(const ledger& state, const account_bucket& bucket, double amount)
    {
        if (bucket.level <= 0)
            return false;
        if (bucket.level >= easyShareOfBurst * bucket.allowed.burst && bucket.level >= amount)
            return true;
        // One request in each interval may overdraw: the debt is paid before the next one.
        if (bucket.sinceExchange <= 0)
            return true;
        return bucket.sinceExchange + amount <= bucket.level * ownShare(state, bucket);
    }

    milliseconds whenRefilled(const account_bucket& bucket, double amount)
    {
        const double missing = std::max(0.0, std::min(amount, bucket.allowed.burst) - bucket.level);
        const auto wait = milliseconds(static_cast<int64_t>(1000 * missing / bucket.allowed.perSecond));
        return std::clamp(wait, shortestRetryAfter, longestRetryAfter);
    }

} // namespace

void setAllowances(ledger& state, const Catalog::catalog& item, Common::instant now)
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

void setPeers(ledger& state, const std::set<Common::node_id>& peers, Common::instant now)
{
    for (const Common::node_id& id : peers)
        state.peers.try_emplace(id, peer_state { {}, now });
    std::erase_if(state.peers, [&peers](const auto& entry) { return !peers.contains(entry.first); });
    for (auto& [id, bucket] : state.accounts)
        std::erase_if(bucket.peers, [&peers](const auto& entry) { return !peers.contains(entry.first); });
}

grant take(ledger& state, const Common::account_id& account, double amount, Common::instant now)
{
    const auto found = state.accounts.find(account);
    if (found == state.accounts.end() || found->second.allowed.perSecond <= 0)
        return {};
    account_bucket& bucket = found->second;
    refill(state, bucket, now);
    bucket.askedSinceReport += amount;
    if (!isWithin(state, bucket, amount))
        return { false, whenRefilled(bucket, amount), bucket.level, ownShare(state, bucket) };
    bucket.level -= amount;
    bucket.granted += amount;
    bucket.sinceExchange += amount;
    return {};
}

void giveBack(ledger& state, const Common::account_id& account, double amount)
{
    const auto found = state.accounts.find(account);
    if (found == state.accounts.end())
        return;
    account_bucket& bucket = found->second;
    bucket.level = std::min(bucket.allowed.burst, bucket.level + amount);
    bucket.granted -= amount;
    bucket.sinceExchange = std::max(0.0, bucket.sinceExchange - amount);
}

node_report makeReport(ledger& state, Common::instant now)
{
    const double seconds = std::max(0.001, toSeconds(now - state.reportedAt));
    state.reportedAt = now;
    node_report report;
    for (auto& [id, bucket] : state.accounts) {
        const double demand = bucket.askedSinceReport / seconds;
        bucket.demandPerSecond += (demand - bucket.demandPerSecond) * demandWeight;
        bucket.askedSinceReport = 0;
        bucket.sinceExchange = 0;
        report.accounts.push_back({ id, bucket.granted, bucket.demandPerSecond });
    }
    return report;
}

void hearReport(ledger& state, const node_report& report, Common::instant now)
{
    const auto peer = state.peers.find(report.node);
    if (peer == state.peers.end())
        return;
    const bool isFirst = peer->second.incarnation.value == 0;
    const bool isRestarted = !isFirst && peer->second.incarnation != report.incarnation;
    // While it was silent, its equal share was charged already.
    const bool wasSilent = now - peer->second.heardAt > state.silence;
    peer->second = { report.incarnation, now };
    for (const granted_total& item : report.accounts) {
        const auto found = state.accounts.find(item.account);
        if (found == state.accounts.end())
            continue;
        account_bucket& bucket = found->second;
        refill(state, bucket, now);
        peer_grants& known = bucket.peers[report.node];
        const double before = isRestarted ? 0 : known.total;
        if (!isFirst && !wasSilent)
            bucket.level -= item.total - before;
        known = { item.total, item.demandPerSecond };
    }
}

} // namespace Quota
