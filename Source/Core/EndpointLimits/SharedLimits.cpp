#include "EndpointLimits/SharedLimits.h"

#include "Common/Hash.h"
#include "Common/RankedOwners.h"

#include <algorithm>

namespace EndpointLimits {

namespace {

    /// @return the nodes that may grant tokens of one endpoint.
    Common::ranked_owners findGrantingNodes(const shared_limits& state, const endpoint_start& start)
    {
        return Common::rankOwners(start.endpoint.value, state.self, state.peers);
    }

    /// Older than any response, so that not knowing a limit never withdraws one.
    constexpr milliseconds ageOfNoStatement = std::chrono::hours(1);

    /// @return the part of an endpoint's limit that this node grants.
    double ownGrantingShare(const shared_limits& state, const endpoint_start& start)
    {
        const Common::ranked_owners nodes = findGrantingNodes(state, start);
        if (nodes.owner == state.self)
            return ownerShare;
        return nodes.backup == state.self ? backupShare : 0;
    }

    limit_statement makeStatement(const shared_limits& state, const endpoint_start& start, Common::instant now)
    {
        const auto found = state.table.find(start.endpoint);
        if (found == state.table.end() || found->second.started != start.started)
            return { start, 0, ageOfNoStatement };
        return { start, found->second.perSecond, std::chrono::duration_cast<milliseconds>(now - found->second.statedAt) };
    }

    limit_change applyStatement(shared_limits& state, const limit_statement& statement, Common::instant now)
    {
        const double perSecond = std::clamp(statement.perSecond, 0.0, maxPerSecond);
        return recordLimit(state.table, statement.start, perSecond, now - std::max(statement.age, milliseconds(0)));
    }

    /// Tells all other nodes what this node knows, unless it has just done so.
    void broadcast(shared_limits& state, const endpoint_start& start, Common::instant now)
    {
        const auto [entry, isNew] = state.broadcastAt.try_emplace(start, now);
        if (!isNew && now - entry->second < broadcastInterval)
            return;
        entry->second = now;
        if (!state.peers.empty())
            state.outgoing.push_back({ makeStatement(state, start, now), {} });
    }

    /// The owner tells all others what has changed.
    void spreadChange(shared_limits& state, const endpoint_start& start, Common::instant now)
    {
        const Common::node_id owner = findGrantingNodes(state, start).owner;
        if (owner == state.self)
            return broadcast(state, start, now);
        state.outgoing.push_back({ makeStatement(state, start, now), owner });
    }

    token_decision decideGrant(shared_limits& state, const endpoint_start& start, const Common::node_id& node, uint32_t wanted, Common::instant now)
    {
        const double rate = findRate(state, start, now);
        const double share = ownGrantingShare(state, start);
        if (rate <= 0 || share <= 0)
            return {};
        const auto [entry, isNew] = state.buckets.try_emplace(start);
        // Another node may have granted until now, so a new bucket starts empty.
        if (isNew)
            entry->second.refilledAt = now;
        return grantTokens(entry->second, rate * share, node, wanted, now);
    }

    void dropExpired(token_pool& pool, Common::instant now)
    {
        while (!pool.expiries.empty() && pool.expiries.front() <= now)
            pool.expiries.pop_front();
    }

    void addTokens(token_pool& pool, const token_decision& decision, Common::instant now)
    {
        const size_t room = maxTokensInHand - std::min<size_t>(maxTokensInHand, pool.expiries.size());
        pool.expiries.insert(pool.expiries.end(), std::min<size_t>(decision.count, room), now + tokenLife);
        pool.nextAsk = pool.askedAt + std::min(decision.askAgainIn, maxAskInterval);
    }

    bool takeAsk(shared_limits& state, Common::instant now)
    {
        const double seconds = std::chrono::duration<double>(now - state.asksRefilledAt).count();
        const double perSecond = std::clamp(asksPerSecondOfAll / static_cast<double>(state.peers.size() + 1), minAsksPerSecond, maxAsksPerSecond);
        state.asksLeft = std::min(maxAskBurst, state.asksLeft + perSecond * std::max(0.0, seconds));
        state.asksRefilledAt = now;
        if (state.asksLeft < 1)
            return false;
        --state.asksLeft;
        return true;
    }

    /// Grants tokens to this node itself.
    /// @return whether there were any.
    bool grantToSelf(shared_limits& state, const endpoint_start& start, token_pool& pool, uint32_t wanted, Common::instant now)
    {
        const token_decision decision = decideGrant(state, start, state.self, wanted, now);
        addTokens(pool, decision, now);
        return decision.count > 0;
    }

    /// @return whether this node has granted tokens to itself.
    bool askOthers(shared_limits& state, const endpoint_start& start, token_pool& pool, const Common::ranked_owners& nodes, uint32_t wanted, Common::instant now)
    {
        const token_request request { makeStatement(state, start, now), wanted };
        state.outgoing.push_back({ request, nodes.owner });
        if (!pool.unansweredSince)
            pool.unansweredSince = now;
        const Common::duration unanswered = now - *pool.unansweredSince;
        pool.nextAsk = now + std::clamp<Common::duration>(unanswered, askInterval, maxUnansweredInterval);
        if (unanswered < ownerTimeout)
            return false;
        if (nodes.backup == state.self)
            return grantToSelf(state, start, pool, wanted, now);
        state.outgoing.push_back({ request, nodes.backup });
        return false;
    }

    /// Nodes begin at different endpoints, so that they don't all ask the same owner.
    std::map<endpoint_start, token_pool>::iterator chooseFirstPool(shared_limits& state)
    {
        if (state.pools.empty())
            return state.pools.end();
        const uint64_t number = Common::hash64(state.self.value, ++state.askRounds) % state.pools.size();
        return std::next(state.pools.begin(), static_cast<std::ptrdiff_t>(number));
    }

    bool apply(shared_limits& state, const Common::node_id&, const limit_statement& message, Common::instant now)
    {
        const limit_change change = applyStatement(state, message, now);
        if (change == limit_change::None)
            return false;
        if (findGrantingNodes(state, message.start).owner == state.self)
            broadcast(state, message.start, now);
        return change != limit_change::Stated;
    }

    bool apply(shared_limits& state, const Common::node_id& from, const token_request& message, Common::instant now)
    {
        const bool isChanged = apply(state, from, message.known, now);
        const token_decision decision = decideGrant(state, message.known.start, from, message.wanted, now);
        state.outgoing.push_back({ token_grant { makeStatement(state, message.known.start, now), decision.count, decision.askAgainIn }, from });
        return isChanged;
    }

    bool apply(shared_limits& state, const Common::node_id& from, const token_grant& message, Common::instant now)
    {
        applyStatement(state, message.known, now);
        const auto pool = state.pools.find(message.known.start);
        if (pool == state.pools.end())
            return true;
        if (from == findGrantingNodes(state, message.known.start).owner)
            pool->second.unansweredSince.reset();
        addTokens(pool->second, { message.count, message.askAgainIn }, now);
        return true;
    }

} // namespace

limit_change stateLimit(shared_limits& state, const endpoint_start& start, double perSecond, Common::instant now)
{
    const limit_change change = recordLimit(state.table, start, perSecond, now);
    if (change != limit_change::None)
        spreadChange(state, start, now);
    return change;
}

double findRate(const shared_limits& state, const endpoint_start& start, Common::instant now)
{
    const limit_record* stated = findLimit(state.table, start);
    const double cold = findColdRate(state.warmUps, start, now);
    if (!stated || cold <= 0)
        return stated ? stated->perSecond : cold;
    return std::min(stated->perSecond, cold);
}

std::set<endpoint_start> findLimitedStarts(const shared_limits& state, Common::instant now)
{
    std::set<endpoint_start> starts;
    for (const auto& [id, record] : state.table)
        starts.insert({ id, record.started });
    for (const auto& [start, item] : state.warmUps) {
        if (now < item.end)
            starts.insert(start);
    }
    return starts;
}

bool maySend(shared_limits& state, const endpoint_start& start, Common::instant now)
{
    if (findRate(state, start, now) <= 0)
        return true;
    const auto pool = state.pools.find(start);
    if (pool == state.pools.end())
        return false;
    dropExpired(pool->second, now);
    return !pool->second.expiries.empty();
}

void useToken(shared_limits& state, const endpoint_start& start, Common::instant now)
{
    if (findRate(state, start, now) <= 0)
        return;
    token_pool& pool = state.pools[start];
    dropExpired(pool, now);
    if (!pool.expiries.empty())
        pool.expiries.pop_front();
    ++pool.demand;
}

void recordMissedToken(shared_limits& state, const endpoint_start& start)
{
    ++state.pools[start].demand;
}

bool requestTokens(shared_limits& state, Common::instant now)
{
    bool hasTokens = false;
    auto next = chooseFirstPool(state);
    for (size_t visited = 0; visited < state.pools.size(); ++visited, ++next) {
        if (next == state.pools.end())
            next = state.pools.begin();
        auto& [start, pool] = *next;
        if (pool.demand == 0 || now < pool.nextAsk || findRate(state, start, now) <= 0)
            continue;
        dropExpired(pool, now);
        const auto inHand = static_cast<uint32_t>(pool.expiries.size());
        const uint32_t wanted = pool.demand - std::min(pool.demand, inHand);
        if (wanted == 0)
            continue;
        const Common::ranked_owners nodes = findGrantingNodes(state, start);
        if (nodes.owner != state.self && !takeAsk(state, now))
            return hasTokens;
        pool.demand = 0;
        pool.askedAt = now;
        const bool isGranted = nodes.owner == state.self ? grantToSelf(state, start, pool, wanted, now) : askOthers(state, start, pool, nodes, wanted, now);
        hasTokens = isGranted || hasTokens;
    }
    return hasTokens;
}

bool applyMessage(shared_limits& state, const Common::node_id& from, const limit_message& message, Common::instant now)
{
    return std::visit([&](const auto& item) { return apply(state, from, item, now); }, message);
}

milliseconds timeToNextAsk(const shared_limits& state, const endpoint_start& start, Common::instant now)
{
    const auto pool = state.pools.find(start);
    if (pool == state.pools.end() || pool->second.nextAsk <= now)
        return milliseconds(0);
    return std::chrono::ceil<milliseconds>(pool->second.nextAsk - now);
}

bool isAwaitingGrant(const shared_limits& state, const endpoint_start& start)
{
    const auto pool = state.pools.find(start);
    return pool != state.pools.end() && pool->second.unansweredSince.has_value();
}

void retainEndpoints(shared_limits& state, const Fleet::endpoint_map& endpoints)
{
    const auto isGone = [&endpoints](const auto& entry) {
        const auto found = endpoints.find(entry.first.endpoint);
        return found == endpoints.end() || found->second.started != entry.first.started;
    };
    std::erase_if(state.pools, isGone);
    std::erase_if(state.warmUps, isGone);
    std::erase_if(state.buckets, isGone);
    std::erase_if(state.broadcastAt, isGone);
}

} // namespace EndpointLimits
