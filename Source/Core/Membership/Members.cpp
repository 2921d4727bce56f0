#include "Membership/Members.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Membership {

namespace {

    using actions = std::vector<membership_action>;

    uint64_t digestMember(const member& item)
    {
        return Common::hash64(item.id.value, item.incarnation.value * 4 + static_cast<uint64_t>(item.status));
    }

    bool supersedes(const member& candidate, const member& known)
    {
        if (candidate.incarnation != known.incarnation)
            return candidate.incarnation > known.incarnation;
        return candidate.status > known.status;
    }

    /// @param excludedPeer the sender of the facts, or an empty id.
    void forwardToLinks(membership_state& state, const std::vector<member>& facts, const Common::node_id& excludedPeer, actions& output)
    {
        if (facts.empty())
            return;
        for (const auto& [id, link] : state.links) {
            const auto peer = state.members.find(id);
            if (id != excludedPeer && peer != state.members.end())
                output.push_back(send_facts { peer->second.peerAddress, facts });
        }
    }

    void refreshLinks(membership_state& state, Common::instant now)
    {
        std::map<Common::node_id, peer_link> next;
        for (const Common::node_id& id : chooseLinks(state.self.id, state.members)) {
            const auto known = state.links.find(id);
            next[id] = known != state.links.end() ? known->second : peer_link { now, 0 };
        }
        state.links = std::move(next);
    }

    /// Refutes a claim that this node is suspect or dead: a record with a higher incarnation supersedes the claim.
    /// @return whether this node's own record changed.
    bool refute(membership_state& state, const member& claim)
    {
        const bool isSuperseded = claim.incarnation < state.self.incarnation
            || (claim.incarnation == state.self.incarnation && claim.status <= state.self.status);
        if (isSuperseded || claim.status == member_status::Alive)
            return false;
        state.self.incarnation = { claim.incarnation.value + 1 };
        return true;
    }

    /// Merges facts into the member table; of two records of a member, the one that supersedes the other is kept.
    /// @return the facts that changed the table or this node's own record.
    std::vector<member> merge(membership_state& state, const std::vector<member>& facts, Common::instant now, actions& output)
    {
        std::vector<member> accepted;
        for (const member& item : facts) {
            if (item.id == state.self.id) {
                if (refute(state, item))
                    accepted.push_back(state.self);
                continue;
            }
            const auto known = state.members.find(item.id);
            if (known != state.members.end() && !supersedes(item, known->second))
                continue;
            state.members[item.id] = item;
            state.statusSince[item.id] = now;
            output.push_back(member_changed { item });
            accepted.push_back(item);
        }
        return accepted;
    }

    /// Merges facts and forwards those that changed something.
    /// @param from the sender, which doesn't get them back; empty for facts that this node found itself.
    void applyFacts(membership_state& state, const std::vector<member>& facts, const Common::node_id& from, Common::instant now, actions& output)
    {
        const std::vector<member> accepted = merge(state, facts, now, output);
        if (accepted.empty())
            return;
        refreshLinks(state, now);
        forwardToLinks(state, accepted, from, output);
        output.push_back(publish_members { state.members });
    }

    std::vector<member> fullTable(const membership_state& state)
    {
        std::vector<member> table { state.self };
        for (const auto& [id, item] : state.members)
            table.push_back(item);
        return table;
    }

    void probe(membership_state& state, const std::string& address, actions& output)
    {
        output.push_back(send_probe { address, ++state.lastSequence, digestMembers(state), state.configuration, false });
    }

    void compareDigest(membership_state& state, const probe_received& message, actions& output)
    {
        const auto link = state.links.find(message.from);
        if (link == state.links.end())
            return;
        if (message.digest == digestMembers(state)) {
            link->second.mismatches = 0;
            return;
        }
        // Facts still in transit cause a few mismatches; more of them mean that a fact was lost.
        if (++link->second.mismatches < state.settings.mismatchesBeforePull)
            return;
        link->second.mismatches = 0;
        output.push_back(send_pull { message.fromAddress });
        output.push_back(send_facts { message.fromAddress, fullTable(state) });
    }

    void handle(membership_state& state, probe_received&& message, Common::instant now, actions& output)
    {
        const auto known = state.members.find(message.from);
        const bool isUnknownOrOutdated = known == state.members.end() || known->second.status == member_status::Dead
            || known->second.incarnation < message.incarnation;
        const auto link = state.links.find(message.from);
        if (link != state.links.end())
            link->second.lastReceivedAt = now;
        if (!message.isReply)
            output.push_back(send_probe { message.fromAddress, message.sequence, digestMembers(state), state.configuration, true });
        // A node that was declared dead finds this in the table and refutes it. A new node gets the members from it.
        if (isUnknownOrOutdated) {
            output.push_back(send_facts { message.fromAddress, fullTable(state) });
            output.push_back(send_pull { message.fromAddress });
        }
        compareDigest(state, message, output);
        if (message.configuration > state.configuration)
            output.push_back(newer_configuration_seen { message.configuration });
    }

    void handle(membership_state& state, member_records_received&& message, Common::instant now, actions& output)
    {
        applyFacts(state, message.members, message.from, now, output);
    }

    void handle(membership_state& state, pull_requested&& message, Common::instant, actions& output)
    {
        output.push_back(send_facts { message.fromAddress, fullTable(state) });
    }

    void handle(membership_state& state, seeds_changed&& message, Common::instant, actions&)
    {
        state.seeds = std::move(message.peerAddresses);
    }

    void handle(membership_state& state, configuration_changed&& message, Common::instant, actions&)
    {
        state.configuration = message.version;
    }

    void handle(membership_state& state, leave_started&&, Common::instant, actions& output)
    {
        state.self.status = member_status::Leaving;
        forwardToLinks(state, { state.self }, {}, output);
    }

    /// Scales an interval with the number of members, so that the traffic of a node doesn't grow with a large fleet.
    std::chrono::milliseconds scaleByMembers(const membership_state& state, std::chrono::milliseconds time)
    {
        const auto members = static_cast<int64_t>(state.members.size() + 1);
        return members <= state.settings.maxMembersAtBaseInterval ? time : time * members / state.settings.maxMembersAtBaseInterval;
    }

    /// Restarts the timeouts after a pause of this process. It received nothing meanwhile, which doesn't mean that its
    /// peers failed.
    void restartTimersAfterPause(membership_state& state, Common::instant now)
    {
        const bool wasPaused = now - state.lastTick > scaleByMembers(state, 2 * state.settings.probeInterval);
        state.lastTick = now;
        if (!wasPaused)
            return;
        for (auto& [id, link] : state.links)
            link.lastReceivedAt = now;
        for (auto& [id, since] : state.statusSince)
            since = now;
    }

    /// @return the records of linked peers whose silence makes them suspect, or dead if they were leaving.
    std::vector<member> findSilent(const membership_state& state, Common::instant now)
    {
        std::vector<member> changed;
        for (const auto& [id, link] : state.links) {
            const member& item = state.members.at(id);
            const bool isSilent = now - link.lastReceivedAt >= scaleByMembers(state, state.settings.suspectAfter);
            if (!isSilent || item.status == member_status::Suspect || item.status == member_status::Dead)
                continue;
            member suspect = item;
            suspect.status = item.status == member_status::Leaving ? member_status::Dead : member_status::Suspect;
            changed.push_back(suspect);
        }
        return changed;
    }

    /// @return the records of suspects that didn't refute in time, with status dead.
    std::vector<member> findExpiredSuspects(const membership_state& state, Common::instant now)
    {
        std::vector<member> changed;
        for (const auto& [id, item] : state.members) {
            if (item.status != member_status::Suspect || now - state.statusSince.at(id) < scaleByMembers(state, state.settings.deadAfter))
                continue;
            member dead = item;
            dead.status = member_status::Dead;
            changed.push_back(dead);
        }
        return changed;
    }

    /// Removes members that have been dead for longer than the retention.
    void removeExpiredDead(membership_state& state, Common::instant now)
    {
        std::erase_if(state.members, [&](const auto& entry) {
            return entry.second.status == member_status::Dead && now - state.statusSince.at(entry.first) >= state.settings.deadRetention;
        });
        std::erase_if(state.statusSince, [&](const auto& entry) { return !state.members.contains(entry.first); });
    }

    /// Probes the seeds while this node has no links, and in each round one random dead member: after the end of a
    /// partition the two sides find each other this way.
    void probeSeedsAndDead(membership_state& state, actions& output)
    {
        if (state.links.empty()) {
            for (const std::string& address : state.seeds) {
                if (address != state.self.peerAddress)
                    probe(state, address, output);
            }
        }
        std::vector<const member*> dead;
        for (const auto& [id, item] : state.members) {
            if (item.status == member_status::Dead)
                dead.push_back(&item);
        }
        if (!dead.empty())
            probe(state, dead[Common::uniformBelow(state.random, static_cast<uint32_t>(dead.size()))]->peerAddress, output);
    }

    void handle(membership_state& state, membership_tick&&, Common::instant now, actions& output)
    {
        restartTimersAfterPause(state, now);
        applyFacts(state, findSilent(state, now), {}, now, output);
        applyFacts(state, findExpiredSuspects(state, now), {}, now, output);
        removeExpiredDead(state, now);
        if (now < state.nextProbe)
            return;
        state.nextProbe = now + scaleByMembers(state, state.settings.probeInterval);
        for (const auto& [id, link] : state.links)
            probe(state, state.members.at(id).peerAddress, output);
        probeSeedsAndDead(state, output);
    }

} // namespace

std::string_view nameOf(member_status status)
{
    switch (status) {
    case member_status::Alive:
        return "alive";
    case member_status::Suspect:
        return "suspect";
    case member_status::Leaving:
        return "leaving";
    case member_status::Dead:
        return "dead";
    }
    return "dead";
}

std::vector<membership_action> stepMembership(membership_state& state, membership_message&& message, Common::instant now)
{
    actions output;
    std::visit([&](auto& item) { handle(state, std::move(item), now, output); }, message);
    return output;
}

uint64_t digestMembers(const membership_state& state)
{
    uint64_t digest = digestMember(state.self);
    // Nodes remove dead members at different times, so the digest leaves them out.
    for (const auto& [id, item] : state.members) {
        if (item.status != member_status::Dead)
            digest ^= digestMember(item);
    }
    return digest;
}

} // namespace Membership
