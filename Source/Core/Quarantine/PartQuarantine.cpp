#include "Quarantine/PartQuarantine.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Quarantine {

namespace {

    /// Nodes that repeat that a part is quarantined.
    constexpr size_t repeatersPerPart = 2;
    /// Nodes that try a part whose crashes another part explains.
    constexpr size_t explainedTriersPerPart = 2;
    /// A sound part is recorded again after this time at the earliest.
    constexpr milliseconds soundUpdateInterval { 1000 };
    constexpr milliseconds minRefusalTime { 1000 };

    milliseconds ageOf(Common::instant then, Common::instant now)
    {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - then));
    }

    milliseconds trialInterval(uint32_t trials)
    {
        return firstTrialInterval * (1U << std::min(trials, maxTrialDoublings));
    }

    /// @return the position of this node in the order of responsibility for a part; zero is first.
    size_t rankOf(const quarantine_state& state, part_hash part)
    {
        const std::string key = Common::toHex(part.value);
        const uint64_t own = Common::rendezvousScore(key, state.self.value);
        return static_cast<size_t>(std::count_if(state.peers.begin(), state.peers.end(), [&](const Common::node_id& peer) { return Common::rendezvousScore(key, peer.value) > own; }));
    }

    bool isSound(const quarantine_state& state, part_hash part, Common::instant now)
    {
        const auto found = state.sound.answeredAt.find(part);
        return found != state.sound.answeredAt.end() && now - found->second <= soundMemory;
    }

    void dropOldestSound(sound_parts& sound)
    {
        const auto& [answered, part] = sound.order.front();
        const auto found = sound.answeredAt.find(part);
        if (found != sound.answeredAt.end() && found->second == answered)
            sound.answeredAt.erase(found);
        sound.order.pop_front();
    }

    void rememberSound(sound_parts& sound, part_hash part, Common::instant now)
    {
        const auto [entry, isNew] = sound.answeredAt.try_emplace(part, now);
        if (!isNew && now - entry->second < soundUpdateInterval)
            return;
        entry->second = now;
        sound.order.emplace_back(now, part);
        while (sound.order.size() > maxSoundParts)
            dropOldestSound(sound);
    }

    void forgetOldSound(sound_parts& sound, Common::instant now)
    {
        while (!sound.order.empty() && now - sound.order.front().first > soundMemory)
            dropOldestSound(sound);
    }

    void send(quarantine_state& state, const part_statement& statement, const std::optional<Common::node_id>& receiver = {})
    {
        state.outgoing.push_back({ statement, receiver });
    }

    void report(quarantine_state& state, part_hash part, part_change change, size_t crashes)
    {
        state.events.push_back({ part, change, crashes });
    }

    /// Makes room for one more suspect: quarantined parts go last, otherwise the one seen longest ago goes first.
    void dropOldestSuspect(quarantine_state& state)
    {
        const auto oldest = std::min_element(state.suspects.begin(), state.suspects.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.isQuarantined, left.second.lastSeen) < std::pair(right.second.isQuarantined, right.second.lastSeen);
        });
        state.suspects.erase(oldest);
    }

    suspect_part& findOrAddSuspect(quarantine_state& state, part_hash part, Common::instant seen)
    {
        const auto found = state.suspects.find(part);
        if (found != state.suspects.end()) {
            found->second.lastSeen = std::max(found->second.lastSeen, seen);
            return found->second;
        }
        if (state.suspects.size() >= maxSuspectParts)
            dropOldestSuspect(state);
        suspect_part& added = state.suspects[part];
        added.lastSeen = seen;
        report(state, part, part_change::Suspected, 1);
        return added;
    }

    void quarantine(quarantine_state& state, part_hash part, suspect_part& suspect, uint32_t trials, Common::instant now)
    {
        suspect.isQuarantined = true;
        suspect.trials = trials;
        suspect.nextTrial = now + trialInterval(trials);
        report(state, part, part_change::Quarantined, suspect.crashes.size());
    }

    bool hasCommonCause(const suspect_part& suspect)
    {
        const auto [first, last] = std::minmax_element(suspect.crashes.begin(), suspect.crashes.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        return last->second - first->second < minCrashSpan;
    }

    /// Keeps the first crashes and the latest one, so that the time they span is known.
    void addCrash(suspect_part& suspect, const endpoint_start& crashed, Common::instant at)
    {
        if (suspect.crashes.contains(crashed))
            return;
        if (suspect.crashes.size() >= crashesToQuarantine) {
            const auto latest = std::max_element(suspect.crashes.begin(), suspect.crashes.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
            suspect.crashes.erase(latest);
        }
        suspect.crashes.emplace(crashed, at);
    }

    suspect_part& countCrash(quarantine_state& state, part_hash part, const endpoint_start& crashed, Common::instant at, Common::instant now)
    {
        suspect_part& suspect = findOrAddSuspect(state, part, now);
        addCrash(suspect, crashed, at);
        if (!suspect.isQuarantined && suspect.crashes.size() >= crashesToQuarantine && !hasCommonCause(suspect))
            quarantine(state, part, suspect, 0, now);
        return suspect;
    }

    /// @return whether this node had reported the part, or repeats it.
    bool release(quarantine_state& state, part_hash part)
    {
        const auto found = state.suspects.find(part);
        if (found == state.suspects.end())
            return false;
        const bool isKnownFromHere = found->second.isReportedHere || (found->second.isQuarantined && rankOf(state, part) < repeatersPerPart);
        report(state, part, part_change::Released, found->second.crashes.size());
        state.suspects.erase(found);
        return isKnownFromHere;
    }

    void applyQuarantined(quarantine_state& state, const part_statement& statement, Common::instant now)
    {
        suspect_part& suspect = findOrAddSuspect(state, statement.part, now - statement.age);
        if (!suspect.isQuarantined)
            return quarantine(state, statement.part, suspect, statement.trials, now);
        if (statement.trials <= suspect.trials)
            return;
        suspect.trials = statement.trials;
        suspect.nextTrial = now + trialInterval(statement.trials);
    }

    part_statement quarantinedStatement(part_hash part, const suspect_part& suspect, Common::instant now)
    {
        part_statement statement { statement_kind::Quarantined, part };
        statement.age = ageOf(suspect.lastSeen, now);
        statement.trials = suspect.trials;
        return statement;
    }

    std::vector<part_hash> quarantinedAmong(const quarantine_state& state, const std::vector<part_hash>& parts)
    {
        std::vector<part_hash> quarantined;
        for (const part_hash part : parts) {
            const auto found = state.suspects.find(part);
            if (found != state.suspects.end() && found->second.isQuarantined)
                quarantined.push_back(part);
        }
        return quarantined;
    }

    /// @param quarantined parts of one request, at least one.
    void startTrial(quarantine_state& state, const std::vector<part_hash>& quarantined, Common::instant now)
    {
        for (const part_hash part : quarantined) {
            suspect_part& suspect = state.suspects.at(part);
            ++suspect.trials;
            suspect.nextTrial = now + trialInterval(suspect.trials);
            send(state, quarantinedStatement(part, suspect, now));
            report(state, part, part_change::Tried, suspect.crashes.size());
        }
    }

    /// @return whether a quarantined part that the request doesn't have was present in all crashes of this one.
    bool isExplainedByOther(const quarantine_state& state, const suspect_part& suspect, const std::vector<part_hash>& parts)
    {
        if (suspect.crashes.empty())
            return false;
        return std::any_of(state.suspects.begin(), state.suspects.end(), [&](const auto& entry) {
            const suspect_part& explanation = entry.second;
            if (!explanation.isQuarantined || std::find(parts.begin(), parts.end(), entry.first) != parts.end())
                return false;
            return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& crash) { return explanation.crashes.contains(crash.first); });
        });
    }

    /// @param quarantined those of the request's parts, at least one.
    /// @return whether this node may try the request now because other parts explain all crashes of its parts.
    bool startExplainedTrial(quarantine_state& state, const std::vector<part_hash>& parts, const std::vector<part_hash>& quarantined, Common::instant now)
    {
        for (const part_hash part : quarantined) {
            const suspect_part& suspect = state.suspects.at(part);
            if (now < suspect.nextExplainedTrial || rankOf(state, part) >= explainedTriersPerPart || !isExplainedByOther(state, suspect, parts))
                return false;
        }
        for (const part_hash part : quarantined) {
            state.suspects.at(part).nextExplainedTrial = now + explainedTrialInterval;
            report(state, part, part_change::Tried, state.suspects.at(part).crashes.size());
        }
        return true;
    }

} // namespace

const char* nameOf(part_change change)
{
    switch (change) {
    case part_change::Suspected:
        return "suspected";
    case part_change::Quarantined:
        return "quarantined";
    case part_change::Tried:
        return "tried";
    case part_change::Released:
        return "released";
    }
    return "unknown";
}

std::vector<part_hash> unprovenParts(const quarantine_state& state, const std::vector<part_hash>& parts, Common::instant now)
{
    std::vector<part_hash> unproven;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(unproven), [&](part_hash part) { return !isSound(state, part, now); });
    return unproven;
}

void recordCrash(quarantine_state& state, const broken_response& response, Common::instant now)
{
    for (const part_hash part : unprovenParts(state, response.parts, now)) {
        countCrash(state, part, response.start, response.brokenAt, now).isReportedHere = true;
        part_statement statement { statement_kind::Crash, part, response.start };
        statement.age = ageOf(response.brokenAt, now);
        send(state, statement);
    }
}

void recordAnswer(quarantine_state& state, const std::vector<part_hash>& parts, Common::instant now)
{
    for (const part_hash part : parts) {
        rememberSound(state.sound, part, now);
        if (!state.suspects.contains(part))
            continue;
        release(state, part);
        send(state, { statement_kind::Sound, part });
    }
}

void applyStatement(quarantine_state& state, const Common::node_id& from, const part_statement& statement, Common::instant now)
{
    const part_statement sound { statement_kind::Sound, statement.part };
    if (statement.kind == statement_kind::Sound) {
        rememberSound(state.sound, statement.part, now);
        if (release(state, statement.part))
            send(state, sound);
        return;
    }
    if (isSound(state, statement.part, now))
        return send(state, sound, from);
    if (statement.kind == statement_kind::Quarantined)
        return applyQuarantined(state, statement, now);
    countCrash(state, statement.part, statement.crashed, now - statement.age, now);
}

part_verdict judgeRequest(quarantine_state& state, const std::vector<part_hash>& parts, Common::instant now)
{
    const std::vector<part_hash> quarantined = quarantinedAmong(state, parts);
    if (quarantined.empty())
        return {};
    Common::instant nextTrial = now;
    for (const part_hash part : quarantined) {
        suspect_part& suspect = state.suspects.at(part);
        suspect.lastSeen = now;
        nextTrial = std::max(nextTrial, suspect.nextTrial);
    }
    if (startExplainedTrial(state, parts, quarantined, now))
        return { true, {} };
    // Parts that come together are tried together, by the node that is responsible for one of them.
    if (nextTrial > now || rankOf(state, *std::min_element(quarantined.begin(), quarantined.end())) != 0)
        return { false, std::max(minRefusalTime, ageOf(now, nextTrial)) };
    startTrial(state, quarantined, now);
    return { true, {} };
}

bool maySendElsewhere(const quarantine_state& state, const std::vector<part_hash>& parts, bool mayHaveRun, bool isTrial)
{
    return std::none_of(parts.begin(), parts.end(), [&](part_hash part) {
        const auto found = state.suspects.find(part);
        if (found == state.suspects.end())
            return false;
        if (mayHaveRun)
            return found->second.isQuarantined || found->second.crashes.size() >= crashesToStopRetries;
        return found->second.isQuarantined && !isTrial;
    });
}

void refresh(quarantine_state& state, Common::instant now)
{
    forgetOldSound(state.sound, now);
    std::vector<part_hash> forgotten;
    for (const auto& [part, suspect] : state.suspects) {
        if (now - suspect.lastSeen > suspectRetention)
            forgotten.push_back(part);
    }
    for (const part_hash part : forgotten)
        release(state, part);
    if (now - state.lastRepeat < repeatInterval)
        return;
    state.lastRepeat = now;
    for (const auto& [part, suspect] : state.suspects) {
        if (suspect.isQuarantined && rankOf(state, part) < repeatersPerPart)
            send(state, quarantinedStatement(part, suspect, now));
    }
}

} // namespace Quarantine
