#include "Quota/Quota.h"

#include "Quota/LeaseOwners.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Quota {

namespace {

    constexpr milliseconds shortestRetryAfter { 250 };
    /// An ask that isn't answered within this time may be repeated.
    constexpr milliseconds askTimeout { 200 };
    constexpr size_t maxUnansweredAsks = 8;
    /// Without an answer of the owner for a multiple of the usual time, within bounds, the node ranked next is asked as well.
    constexpr milliseconds minOwnerTimeout { 250 };
    constexpr milliseconds maxOwnerTimeout { 700 };
    constexpr int answerTimesPerTimeout = 3;
    /// Weight of the latest answer in the moving average of answer times.
    constexpr int answerTimeWeight = 8;
    /// Time between two asks for an account at its limit; grows with the number of nodes, all of which may ask.
    constexpr milliseconds minLimitedInterval { 50 };
    constexpr milliseconds maxLimitedInterval { 1000 };
    constexpr double limitedIntervalMsPerNode = 2.5;
    /// Time constant of the moving average of demand.
    constexpr double demandSeconds = 1;
    /// Tokens leased ahead: the expected demand of this time, at least this many requests, at most this part of the burst.
    constexpr double aheadSeconds = 0.4;
    constexpr double minRequestsAhead = 1.5;
    constexpr double maxPartOfBurstAhead = 0.25;
    /// With fewer requests than this nothing is leased ahead, as the lease would expire.
    constexpr double minRequestsPerSecond = 1.5;
    /// All nodes together may grant this part of what an account may use in quotaWindow before they ask.
    constexpr double overdraftPart = 0.05;
    constexpr double quotaWindowSeconds = 8;
    /// Below this part of the burst nothing is granted without a lease, until the last answer is older than its memory.
    constexpr double minLevelForOverdraft = 0.3;
    constexpr milliseconds answerMemory { 5000 };

    double toSeconds(Common::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    double inHand(const account_lease& lease, Common::instant now)
    {
        return now < lease.usableUntil ? lease.credited - lease.used : std::min(0.0, lease.credited - lease.used);
    }

    double nodeCount(const quota_state& state)
    {
        return static_cast<double>(state.peers.size() + 1);
    }

    void recordDemand(account_lease& lease, double amount, Common::instant now)
    {
        const double decay = std::exp(-std::max(0.0, toSeconds(now - lease.demandAt)) / demandSeconds);
        lease.demandAt = now;
        lease.demandPerSecond = lease.demandPerSecond * decay + amount / demandSeconds;
        lease.requestsPerSecond = lease.requestsPerSecond * decay + 1 / demandSeconds;
    }

    /// @return the tokens that should be in hand before they are needed.
    double amountAhead(const account_lease& lease)
    {
        if (lease.isLimited || lease.requestsPerSecond < minRequestsPerSecond)
            return 0;
        const double average = lease.demandPerSecond / lease.requestsPerSecond;
        const double wanted = std::max(lease.demandPerSecond * aheadSeconds, average * minRequestsAhead);
        return std::min(wanted, savedTokens(lease.allowed) * maxPartOfBurstAhead);
    }

    void recordGrant(account_lease& lease, double amount)
    {
        lease.used += amount;
        lease.grantedSinceReport += amount;
    }

    bool take(account_lease& lease, double amount, Common::instant now)
    {
        if (inHand(lease, now) < amount)
            return false;
        recordGrant(lease, amount);
        return true;
    }

    milliseconds limitedInterval(const quota_state& state)
    {
        const milliseconds interval(static_cast<int64_t>(limitedIntervalMsPerNode * nodeCount(state)));
        return std::clamp(interval, minLimitedInterval, maxLimitedInterval);
    }

    bool isAskDue(const quota_state& state, const account_lease& lease, Common::instant now)
    {
        if (!state.arePeersKnown || now < lease.nextAsk)
            return false;
        return lease.asks.empty() || now - lease.asks.back().sentAt >= askTimeout;
    }

    void recordAnswerTime(account_lease& lease, Common::duration sample)
    {
        const bool isFirst = lease.answerTime == Common::duration::zero();
        lease.answerTime = isFirst ? sample : lease.answerTime + (sample - lease.answerTime) / answerTimeWeight;
    }

    Common::duration ownerTimeout(const account_lease& lease)
    {
        if (lease.answerTime == Common::duration::zero())
            return maxOwnerTimeout;
        return std::clamp<Common::duration>(answerTimesPerTimeout * lease.answerTime, minOwnerTimeout, maxOwnerTimeout);
    }

    /// @return whether the answer is to an ask that is still open, so that the lease has changed.
    bool applyAnswer(quota_state& state, const Common::node_id& from, const lease_answer& answer, Common::instant now)
    {
        const auto entry = state.accounts.find(answer.account);
        if (entry == state.accounts.end() || answer.incarnation != state.incarnation)
            return false;
        account_lease& lease = entry->second;
        if (from == lease.owners.owner)
            lease.unansweredSince.reset();
        const auto ask = std::find_if(lease.asks.begin(), lease.asks.end(), [&answer](const unanswered_ask& item) { return item.sequence == answer.sequence; });
        if (ask == lease.asks.end())
            return false;
        recordAnswerTime(lease, now - ask->sentAt);
        lease.credited = answer.credited;
        lease.settled = ask->used;
        lease.usableUntil = ask->sentAt + leaseLife;
        lease.isLimited = answer.isLimited;
        lease.ownerLevel = answer.level;
        lease.answeredAt = now;
        lease.retryAfter = answer.retryAfter;
        lease.nextAsk = answer.isLimited ? ask->sentAt + limitedInterval(state) : now;
        if (lease.overdraftSequence > 0 && answer.sequence >= lease.overdraftSequence) {
            lease.hasOverdraft = false;
            lease.overdraftSequence = 0;
        }
        lease.asks.erase(lease.asks.begin(), std::next(ask));
        return true;
    }

    void post(quota_state& state, const Common::node_id& receiver, const lease_ask& ask, Common::instant now)
    {
        if (receiver != state.self) {
            state.outgoing.push_back({ receiver, ask });
            return;
        }
        const std::optional<lease_answer> answer = answerForAll(state, state.self, ask, now);
        if (answer)
            applyAnswer(state, state.self, *answer, now);
    }

    void sendAsk(quota_state& state, const Common::account_id& account, account_lease& lease, double ahead, Common::instant now)
    {
        if (lease.owners.owner.value.empty() && lease.owners.backup.value.empty())
            updateOwners(state, now);
        const double need = lease.waiting.empty() ? 0 : lease.waiting.front();
        const double waiting = std::accumulate(lease.waiting.begin(), lease.waiting.end(), 0.0);
        const lease_ask ask { account, state.incarnation, ++state.lastSequence, lease.used, lease.settled, need, waiting, waiting + ahead, isSettled(state, now) };
        if (lease.asks.size() >= maxUnansweredAsks)
            lease.asks.erase(lease.asks.begin());
        lease.asks.push_back({ ask.sequence, now, lease.used });
        if (lease.hasOverdraft && lease.overdraftSequence == 0)
            lease.overdraftSequence = ask.sequence;
        if (!lease.unansweredSince)
            lease.unansweredSince = now;
        const bool isOwnerSilent = now - *lease.unansweredSince >= ownerTimeout(lease);
        post(state, lease.owners.owner, ask, now);
        if (isOwnerSilent && !lease.owners.backup.value.empty())
            post(state, lease.owners.backup, ask, now);
    }

    void askForMore(quota_state& state, const Common::account_id& account, account_lease& lease, Common::instant now)
    {
        if (!isAskDue(state, lease, now))
            return;
        const double ahead = amountAhead(lease);
        const bool isLow = inHand(lease, now) < ahead / 2;
        if (!lease.waiting.empty() || isLow || lease.hasOverdraft)
            sendAsk(state, account, lease, ahead, now);
    }

    /// A first request needn't wait, as long as all nodes that may do the same stay within the overdraft together.
    bool mayOverdraw(quota_state& state, const account_lease& lease, double amount, Common::instant now)
    {
        if (!state.arePeersKnown || !isSettled(state, now) || state.peers.empty() || lease.owners.owner == state.self || lease.hasOverdraft || !lease.waiting.empty())
            return false;
        if (now - lease.answeredAt < answerMemory && (lease.isLimited || lease.ownerLevel < minLevelForOverdraft * savedTokens(lease.allowed)))
            return false;
        const double allowed = overdraftPart * (quotaWindowSeconds * lease.allowed.perSecond + lease.allowed.burst);
        return Common::uniformUnit(state.random) * nodeCount(state) * amount < allowed;
    }

    bool overdraw(quota_state& state, account_lease& lease, double amount, Common::instant now)
    {
        if (!mayOverdraw(state, lease, amount, now))
            return false;
        // What is left of an expired lease is not used.
        lease.hasOverdraft = true;
        recordGrant(lease, amount);
        return true;
    }

    grant notGranted(const account_lease& lease, bool isPending, Common::instant now)
    {
        return { false, isPending, std::max(shortestRetryAfter, lease.retryAfter), lease.ownerLevel, inHand(lease, now) };
    }

    /// @return whether an answer may come while a request waits.
    bool mayWait(const account_lease& lease, Common::instant now)
    {
        if (!lease.asks.empty() || !lease.isLimited)
            return true;
        return lease.retryAfter < maxLeaseWait && lease.nextAsk - now < maxLeaseWait;
    }

    account_lease* findLimited(quota_state& state, const Common::account_id& account)
    {
        const auto found = state.accounts.find(account);
        return found == state.accounts.end() || found->second.allowed.perSecond <= 0 ? nullptr : &found->second;
    }

    void removeWaiting(account_lease& lease, double amount)
    {
        const auto found = std::find(lease.waiting.begin(), lease.waiting.end(), amount);
        if (found != lease.waiting.end())
            lease.waiting.erase(found);
    }

} // namespace

void setAllowances(quota_state& state, const Catalog::catalog& item, Common::instant now)
{
    std::set<Common::account_id> present;
    for (const Catalog::account& account : item.accounts) {
        present.insert(account.id);
        state.accounts[account.id].allowed = account.allowed;
    }
    std::erase_if(state.accounts, [&present](const auto& entry) { return !present.contains(entry.first); });
    if (state.arePeersKnown)
        updateOwners(state, now);
}

void setPeers(quota_state& state, const std::set<Common::node_id>& peers, Common::instant now)
{
    const bool hasFoundOthers = state.peers.empty() && !peers.empty();
    const bool isFirstView = !state.arePeersKnown || state.peersKnownSince == Common::instant();
    // A node that has just been started can't tell which of the others have been as well.
    const Common::instant listedSince = isFirstView || isJustStarted(state, now) ? Common::instant() : now;
    if (isFirstView || hasFoundOthers)
        state.peersKnownSince = now;
    state.arePeersKnown = true;
    for (const Common::node_id& id : peers)
        state.peers.try_emplace(id, peer_state { {}, now, true, listedSince });
    std::erase_if(state.peers, [&peers](const auto& entry) { return !peers.contains(entry.first); });
    for (auto& [id, lease] : state.accounts)
        std::erase_if(lease.reported, [&peers](const auto& entry) { return !peers.contains(entry.first); });
    updateOwners(state, now);
}

void setLeaving(quota_state& state, const std::set<Common::node_id>& leaving, Common::instant now)
{
    if (!state.leavingSince && leaving.contains(state.self))
        state.leavingSince = now;
    for (auto& [id, peer] : state.peers)
        peer.isLeaving = leaving.contains(id);
    updateOwners(state, now);
}

grant tryConsume(quota_state& state, const Common::account_id& account, double amount, Common::instant now)
{
    refreshOwners(state, now);
    account_lease* lease = findLimited(state, account);
    if (!lease)
        return {};
    lease->askedSinceReport += amount;
    recordDemand(*lease, amount, now);
    bool isGranted = take(*lease, amount, now) || overdraw(state, *lease, amount, now);
    if (!isGranted)
        lease->waiting.push_back(amount);
    askForMore(state, account, *lease, now);
    if (isGranted)
        return {};
    if (take(*lease, amount, now)) {
        removeWaiting(*lease, amount);
        return {};
    }
    if (mayWait(*lease, now))
        return notGranted(*lease, true, now);
    return stopWaiting(state, account, amount, now);
}

grant retryWaiting(quota_state& state, const Common::account_id& account, double amount, Common::instant now)
{
    account_lease* lease = findLimited(state, account);
    if (!lease)
        return {};
    if (!take(*lease, amount, now)) {
        askForMore(state, account, *lease, now);
        if (!take(*lease, amount, now))
            return notGranted(*lease, true, now);
    }
    removeWaiting(*lease, amount);
    return {};
}

grant stopWaiting(quota_state& state, const Common::account_id& account, double amount, Common::instant now)
{
    account_lease* lease = findLimited(state, account);
    if (!lease)
        return {};
    removeWaiting(*lease, amount);
    lease->hasRefused = true;
    return notGranted(*lease, false, now);
}

void refund(quota_state& state, const Common::account_id& account, double amount)
{
    const auto found = state.accounts.find(account);
    if (found == state.accounts.end())
        return;
    found->second.used -= amount;
    found->second.grantedSinceReport = std::max(0.0, found->second.grantedSinceReport - amount);
}

bool applyMessage(quota_state& state, const Common::node_id& from, const lease_message& message, Common::instant now)
{
    refreshOwners(state, now);
    if (const auto* ask = std::get_if<lease_ask>(&message)) {
        const std::optional<lease_answer> answer = answerForAll(state, from, *ask, now);
        if (answer)
            state.outgoing.push_back({ from, *answer });
        return false;
    }
    return applyAnswer(state, from, std::get<lease_answer>(message), now);
}

void returnExpired(quota_state& state, Common::instant now)
{
    for (auto& [id, lease] : state.accounts) {
        if (lease.credited > lease.used && now >= lease.usableUntil && isAskDue(state, lease, now))
            sendAsk(state, id, lease, 0, now);
    }
}

std::vector<limited_account> describeLimited(const quota_state& state, Common::instant now)
{
    size_t silent = 0;
    for (const auto& [id, peer] : state.peers)
        silent += now - peer.lastReportAt > state.peerReportTimeout ? 1 : 0;
    std::vector<limited_account> found;
    for (const auto& [id, lease] : state.accounts) {
        const double overdraft = std::max(0.0, lease.used - lease.credited);
        const bool isOverdrawn = overdraft > 0 && lease.askedSinceReport > 0;
        if (lease.hasRefused || isOverdrawn)
            found.push_back({ id, lease.owners.owner, lease.ownerLevel, lease.grantedSinceReport, lease.askedSinceReport, inHand(lease, now), overdraft, state.peers.size(), silent });
    }
    return found;
}

node_report makeReport(quota_state& state, Common::instant now)
{
    state.reportedAt = now;
    node_report report;
    report.isLeasing = true;
    const bool isNeeded = std::any_of(state.peers.begin(), state.peers.end(), [](const auto& entry) { return !entry.second.isLeasing || entry.second.incarnation.value == 0; });
    for (auto& [id, lease] : state.accounts) {
        if (isNeeded)
            report.accounts.push_back({ id, lease.used, lease.demandPerSecond });
        lease.askedSinceReport = 0;
        lease.grantedSinceReport = 0;
        lease.hasRefused = false;
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
    const bool isChanged = peer->second.isLeasing != report.isLeasing;
    peer->second.incarnation = report.incarnation;
    peer->second.lastReportAt = now;
    peer->second.isLeasing = report.isLeasing;
    if (isChanged)
        updateOwners(state, now);
    if (report.isLeasing)
        return;
    for (const granted_total& item : report.accounts) {
        const auto found = state.accounts.find(item.account);
        if (found == state.accounts.end())
            continue;
        double& reported = found->second.reported[report.node];
        const double previous = isRestarted ? 0 : std::exchange(reported, item.total);
        reported = item.total;
        if (!isFirst)
            deductUnleased(state, item.account, item.total - previous, now);
    }
}

} // namespace Quota
