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

    void passOn(membership_state& state, const std::vector<member>& facts, const Common::node_id& except, actions& output)
    {
        if (facts.empty())
            return;
        for (const auto& [id, link] : state.links) {
            const auto peer = state.members.find(id);
            if (id != except && peer != state.members.end())
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

    /// A rumour that this node is suspect or dead is answered by a higher incarnation.
    bool refute(membership_state& state, const member& rumour)
    {
        const bool isHarmless = rumour.incarnation < state.self.incarnation
            || (rumour.incarnation == state.self.incarnation && rumour.status <= state.self.status);
        if (isHarmless || rumour.status == member_status::Alive)
            return false;
        state.self.incarnation = { rumour.incarnation.value + 1 };
        return true;
    }

    /// @return the facts that were new to this node.
    std::vector<member> merge(membership_state& state, const std::vector<member>& facts, Common::instant now, actions& output)
    {
        std::vector<member> fresh;
        for (const member& item : facts) {
            if (item.id == state.self.id) {
                if (refute(state, item))
                    fresh.push_back(state.self);
                continue;
            }
            const auto known = state.members.find(item.id);
            if (known != state.members.end() && !supersedes(item, known->second))
                continue;
            state.members[item.id] = item;
            state.statusSince[item.id] = now;
            output.push_back(member_changed { item });
            fresh.push_back(item);
        }
        return fresh;
    }

    void absorb(membership_state& state, const std::vector<member>& facts, const Common::node_id& from, Common::instant now, actions& output)
    {
        const std::vector<member> fresh = merge(state, facts, now, output);
        if (fresh.empty())
            return;
        refreshLinks(state, now);
        passOn(state, fresh, from, output);
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

    void compareDigest(membership_state& state, const probe_heard& message, actions& output)
    {
        const auto link = state.links.find(message.from);
        if (link == state.links.end())
            return;
        if (message.digest == digestMembers(state)) {
            link->second.mismatches = 0;
            return;
        }
        // A change on its way explains a few mismatches; more of them mean that a fact was lost.
        if (++link->second.mismatches < state.settings.mismatchesBeforePull)
            return;
        link->second.mismatches = 0;
        output.push_back(send_pull { message.fromAddress });
        output.push_back(send_facts { message.fromAddress, fullTable(state) });
    }

    void handle(membership_state& state, probe_heard&& message, Common::instant now, actions& output)
    {
        const auto known = state.members.find(message.from);
        const bool isStranger = known == state.members.end() || known->second.status == member_status::Dead
            || known->second.incarnation < message.incarnation;
        const auto link = state.links.find(message.from);
        if (link != state.links.end())
            link->second.lastHeard = now;
        if (!message.isReply)
            output.push_back(send_probe { message.fromAddress, message.sequence, digestMembers(state), state.configuration, true });
        // A node that was declared dead learns it here and refutes; a newcomer gets the table.
        if (isStranger) {
            output.push_back(send_facts { message.fromAddress, fullTable(state) });
            output.push_back(send_pull { message.fromAddress });
        }
        compareDigest(state, message, output);
        if (message.configuration > state.configuration)
            output.push_back(peer_ahead { message.configuration });
    }

    void handle(membership_state& state, facts_heard&& message, Common::instant now, actions& output)
    {
        absorb(state, message.members, message.from, now, output);
    }

    void handle(membership_state& state, pull_heard&& message, Common::instant, actions& output)
    {
        output.push_back(send_facts { message.fromAddress, fullTable(state) });
    }

    void handle(membership_state& state, seeds_known&& message, Common::instant, actions&)
    {
        state.seeds = std::move(message.peerAddresses);
    }

    void handle(membership_state& state, configuration_moved&& message, Common::instant, actions&)
    {
        state.configuration = message.version;
    }

    void handle(membership_state& state, leave_begun&&, Common::instant, actions& output)
    {
        state.self.status = member_status::Leaving;
        passOn(state, { state.self }, {}, output);
    }

    /// A larger fleet is probed more slowly, so that it costs a node no more bytes.
    std::chrono::milliseconds stretch(const membership_state& state, std::chrono::milliseconds time)
    {
        const auto members = static_cast<int64_t>(state.members.size() + 1);
        return members <= state.settings.membersPerInterval ? time : time * members / state.settings.membersPerInterval;
    }

    /// A node that was paused has heard nobody: that says nothing about the others.
    void forgiveOwnPause(membership_state& state, Common::instant now)
    {
        const bool wasPaused = now - state.lastTick > stretch(state, 2 * state.settings.probeInterval);
        state.lastTick = now;
        if (!wasPaused)
            return;
        for (auto& [id, link] : state.links)
            link.lastHeard = now;
        for (auto& [id, since] : state.statusSince)
            since = now;
    }

    std::vector<member> findSilent(const membership_state& state, Common::instant now)
    {
        std::vector<member> changed;
        for (const auto& [id, link] : state.links) {
            const member& item = state.members.at(id);
            const bool isSilent = now - link.lastHeard >= stretch(state, state.settings.suspectAfter);
            if (!isSilent || item.status == member_status::Suspect || item.status == member_status::Dead)
                continue;
            member suspect = item;
            suspect.status = item.status == member_status::Leaving ? member_status::Dead : member_status::Suspect;
            changed.push_back(suspect);
        }
        return changed;
    }

    std::vector<member> findDead(const membership_state& state, Common::instant now)
    {
        std::vector<member> changed;
        for (const auto& [id, item] : state.members) {
            if (item.status != member_status::Suspect || now - state.statusSince.at(id) < stretch(state, state.settings.deadAfter))
                continue;
            member dead = item;
            dead.status = member_status::Dead;
            changed.push_back(dead);
        }
        return changed;
    }

    void dropForgotten(membership_state& state, Common::instant now)
    {
        std::erase_if(state.members, [&](const auto& entry) {
            return entry.second.status == member_status::Dead && now - state.statusSince.at(entry.first) >= state.settings.deadRetention;
        });
        std::erase_if(state.statusSince, [&](const auto& entry) { return !state.members.contains(entry.first); });
    }

    /// Without members the seeds are asked; with some, now and then one of the dead, in case a cut has healed.
    void probeOutside(membership_state& state, actions& output)
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
        forgiveOwnPause(state, now);
        absorb(state, findSilent(state, now), {}, now, output);
        absorb(state, findDead(state, now), {}, now, output);
        dropForgotten(state, now);
        if (now < state.nextProbe)
            return;
        state.nextProbe = now + stretch(state, state.settings.probeInterval);
        for (const auto& [id, link] : state.links)
            probe(state, state.members.at(id).peerAddress, output);
        probeOutside(state, output);
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
    // Nodes forget the dead at different times, so that these don't count.
    for (const auto& [id, item] : state.members) {
        if (item.status != member_status::Dead)
            digest ^= digestMember(item);
    }
    return digest;
}

} // namespace Membership
