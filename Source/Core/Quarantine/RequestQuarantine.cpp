#include "Quarantine/RequestQuarantine.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Quarantine {

namespace {

    /// Nodes that repeat that a fingerprint is quarantined, and write it to the store.
    constexpr size_t repeatersPerFingerprint = 2;
    /// Nodes that try a fingerprint whose crashes another fingerprint explains.
    constexpr size_t explainedTriersPerFingerprint = 2;
    /// A sound fingerprint is recorded again after this time at the earliest.
    constexpr milliseconds soundUpdateInterval { 1000 };
    constexpr milliseconds minRefusalTime { 1000 };
    constexpr size_t suspectsCompared = 64;

    milliseconds ageOf(Common::instant then, Common::instant now)
    {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - then));
    }

    milliseconds trialInterval(uint32_t trials)
    {
        return firstTrialInterval * (1U << std::min(trials, maxTrialDoublings));
    }

    /// @return the position of this node in the order of responsibility for a fingerprint; zero is first.
    size_t rankOf(const quarantine_state& state, fingerprint subject)
    {
        const std::string key = Common::toHex(subject.value);
        const uint64_t own = Common::rendezvousScore(key, state.self.value);
        return static_cast<size_t>(std::count_if(state.peers.begin(), state.peers.end(), [&](const Common::node_id& peer) { return Common::rendezvousScore(key, peer.value) > own; }));
    }

    bool isSound(const quarantine_state& state, fingerprint subject, Common::instant now)
    {
        const auto found = state.sound.answeredAt.find(subject);
        return found != state.sound.answeredAt.end() && now - found->second <= soundMemory;
    }

    void dropOldestSound(sound_memory& sound)
    {
        const auto& [answered, subject] = sound.order.front();
        const auto found = sound.answeredAt.find(subject);
        if (found != sound.answeredAt.end() && found->second == answered)
            sound.answeredAt.erase(found);
        sound.order.pop_front();
    }

    void rememberSound(sound_memory& sound, fingerprint subject, Common::instant now)
    {
        const auto [entry, isNew] = sound.answeredAt.try_emplace(subject, now);
        if (!isNew && now - entry->second < soundUpdateInterval)
            return;
        entry->second = now;
        sound.order.emplace_back(now, subject);
        while (sound.order.size() > maxSoundEntries)
            dropOldestSound(sound);
    }

    void forgetOldSound(sound_memory& sound, Common::instant now)
    {
        while (!sound.order.empty() && now - sound.order.front().first > soundMemory)
            dropOldestSound(sound);
    }

    void send(quarantine_state& state, const quarantine_statement& statement, const std::optional<Common::node_id>& receiver = {})
    {
        state.outgoing.push_back({ statement, receiver });
    }

    void report(quarantine_state& state, fingerprint subject, suspect_change change, size_t crashes)
    {
        state.events.push_back({ subject, change, crashes });
    }

    /// @return the order in which suspects are dropped: quarantined ones last, those with few crashes seen long ago first.
    std::pair<bool, Common::instant> keepingRank(const suspect_record& suspect)
    {
        return { suspect.isQuarantined, suspect.lastSeen + retentionPerCrash * suspect.crashes.size() };
    }

    /// Drops the least of a few suspects: the table's order is random enough, and a full search at each crash takes long.
    void dropOldestSuspect(quarantine_state& state)
    {
        auto end = state.suspects.begin();
        std::advance(end, std::min(state.suspects.size(), suspectsCompared));
        const auto oldest = std::min_element(state.suspects.begin(), end, [](const auto& left, const auto& right) { return keepingRank(left.second) < keepingRank(right.second); });
        state.suspects.erase(oldest);
    }

    suspect_record& findOrAddSuspect(quarantine_state& state, fingerprint subject, Common::instant seen)
    {
        const auto found = state.suspects.find(subject);
        if (found != state.suspects.end()) {
            found->second.lastSeen = std::max(found->second.lastSeen, seen);
            return found->second;
        }
        if (state.suspects.size() >= maxSuspects)
            dropOldestSuspect(state);
        suspect_record& added = state.suspects[subject];
        added.lastSeen = seen;
        report(state, subject, suspect_change::Suspected, 1);
        return added;
    }

    void markExplained(crash_history& history, const suspect_record& suspect)
    {
        for (const auto& [start, crash] : suspect.crashes) {
            const auto found = history.crashes.find(start);
            if (found != history.crashes.end())
                found->second.isExplained = true;
        }
    }

    bool isKeptHere(const quarantine_state& state, fingerprint subject, const suspect_record& suspect)
    {
        return suspect.isReportedHere || rankOf(state, subject) < repeatersPerFingerprint;
    }

    void quarantine(quarantine_state& state, fingerprint subject, suspect_record& suspect, uint32_t trials, Common::instant now)
    {
        suspect.isQuarantined = true;
        suspect.trials = trials;
        suspect.nextTrial = now + trialInterval(trials);
        markExplained(state.history, suspect);
        report(state, subject, suspect_change::Quarantined, suspect.crashes.size());
    }

    /// @return whether the endpoints may have gone down together, under requests that were at all of them already. A request
    /// that was sent on after a crash is a cause of its own for the next one.
    bool mayHaveCommonCause(const suspect_record& suspect)
    {
        Common::instant firstCrash = Common::instant::max();
        Common::instant lastCrash = Common::instant::min();
        Common::instant lastBegun = Common::instant::min();
        for (const auto& [start, crash] : suspect.crashes) {
            firstCrash = std::min(firstCrash, crash.at);
            lastCrash = std::max(lastCrash, crash.at);
            lastBegun = std::max(lastBegun, crash.at - crash.exposure);
        }
        return lastCrash - firstCrash < minCrashSpan && lastBegun <= firstCrash;
    }

    /// Keeps the first crashes and the latest one, so that the time they span is known.
    void addCrash(suspect_record& suspect, const endpoint_start& crashed, const crash_record& crash)
    {
        const auto known = suspect.crashes.find(crashed);
        if (known != suspect.crashes.end()) {
            known->second.exposure = std::max(known->second.exposure, crash.exposure);
            return;
        }
        if (suspect.crashes.size() >= maxCrashesKept) {
            const auto latest = std::max_element(suspect.crashes.begin(), suspect.crashes.end(), [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
            suspect.crashes.erase(latest);
        }
        suspect.crashes.emplace(crashed, crash);
    }

    /// @return whether a request isn't sent to another endpoint after one may have run it.
    bool isLikelyCause(const quarantine_state& state, const suspect_record& suspect, Common::instant now)
    {
        return suspect.crashes.size() >= crashesToStopRetries && chanceOf(state.history, suspect.service, suspect.crashes, now) <= maxChanceToStopRetries;
    }

    bool mayBeQuarantined(const quarantine_state& state, const suspect_record& suspect, Common::instant now)
    {
        return suspect.crashes.size() >= crashesToQuarantine && !mayHaveCommonCause(suspect) && chanceOf(state.history, suspect.service, suspect.crashes, now) <= maxChanceToQuarantine;
    }

    void store(quarantine_state& state, fingerprint subject, const suspect_record& suspect)
    {
        stored_quarantine item { subject, suspect.trials };
        for (const auto& [start, crash] : suspect.crashes)
            item.crashes.push_back(start);
        state.unstored.push_back(std::move(item));
    }

    void quarantineAndStore(quarantine_state& state, fingerprint subject, suspect_record& suspect, uint32_t trials, Common::instant now)
    {
        quarantine(state, subject, suspect, trials, now);
        if (isKeptHere(state, subject, suspect))
            store(state, subject, suspect);
    }

    void countCrash(quarantine_state& state, const quarantine_statement& statement, bool isReportedHere, Common::instant now)
    {
        const fingerprint subject = statement.subject;
        suspect_record& suspect = findOrAddSuspect(state, subject, now);
        suspect.isReportedHere = suspect.isReportedHere || isReportedHere;
        suspect.service = statement.service;
        addCrash(suspect, statement.crashed, { now - statement.age, statement.exposure });
        if (suspect.isQuarantined)
            markExplained(state.history, suspect);
        else if (mayBeQuarantined(state, suspect, now))
            quarantineAndStore(state, subject, suspect, 0, now);
    }

    /// @return whether this node had reported the fingerprint, or repeats it.
    bool release(quarantine_state& state, fingerprint subject)
    {
        const auto found = state.suspects.find(subject);
        if (found == state.suspects.end())
            return false;
        const bool isKnownFromHere = found->second.isReportedHere || (found->second.isQuarantined && isKeptHere(state, subject, found->second));
        if (found->second.isQuarantined && isKnownFromHere)
            state.unstored.push_back({ subject, 0, true });
        report(state, subject, suspect_change::Released, found->second.crashes.size());
        state.suspects.erase(found);
        return isKnownFromHere;
    }

    void applyQuarantined(quarantine_state& state, const quarantine_statement& statement, Common::instant now)
    {
        suspect_record& suspect = findOrAddSuspect(state, statement.subject, now - statement.age);
        if (!suspect.isQuarantined)
            return quarantineAndStore(state, statement.subject, suspect, statement.trials, now);
        if (statement.trials <= suspect.trials)
            return;
        suspect.trials = statement.trials;
        suspect.nextTrial = now + trialInterval(statement.trials);
    }

    quarantine_statement quarantinedStatement(fingerprint subject, const suspect_record& suspect, Common::instant now)
    {
        quarantine_statement statement { statement_kind::Quarantined, subject };
        statement.age = ageOf(suspect.lastSeen, now);
        statement.trials = suspect.trials;
        return statement;
    }

    std::vector<fingerprint> quarantinedAmong(const quarantine_state& state, const std::vector<fingerprint>& fingerprints)
    {
        std::vector<fingerprint> quarantined;
        for (const fingerprint subject : fingerprints) {
            const auto found = state.suspects.find(subject);
            if (found != state.suspects.end() && found->second.isQuarantined)
                quarantined.push_back(subject);
        }
        return quarantined;
    }

    /// @param quarantined fingerprints of one request, at least one.
    void startTrial(quarantine_state& state, const std::vector<fingerprint>& quarantined, Common::instant now)
    {
        for (const fingerprint subject : quarantined) {
            suspect_record& suspect = state.suspects.at(subject);
            ++suspect.trials;
            suspect.nextTrial = now + trialInterval(suspect.trials);
            send(state, quarantinedStatement(subject, suspect, now));
            store(state, subject, suspect);
            report(state, subject, suspect_change::Tried, suspect.crashes.size());
        }
    }

    /// @return whether a quarantined fingerprint that the request doesn't have was present in all crashes of this one.
    bool isExplainedByOther(const quarantine_state& state, const suspect_record& suspect, const std::vector<fingerprint>& fingerprints)
    {
        if (suspect.crashes.empty())
            return false;
        return std::any_of(state.suspects.begin(), state.suspects.end(), [&](const auto& entry) {
            const suspect_record& explanation = entry.second;
            if (!explanation.isQuarantined || std::find(fingerprints.begin(), fingerprints.end(), entry.first) != fingerprints.end())
                return false;
            return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& crash) { return explanation.crashes.contains(crash.first); });
        });
    }

    /// @param quarantined those of the request's fingerprints, at least one.
    /// @return whether this node may try the request now because other fingerprints explain all crashes of its fingerprints.
    bool startExplainedTrial(quarantine_state& state, const std::vector<fingerprint>& fingerprints, const std::vector<fingerprint>& quarantined, Common::instant now)
    {
        for (const fingerprint subject : quarantined) {
            const suspect_record& suspect = state.suspects.at(subject);
            if (now < suspect.nextExplainedTrial || rankOf(state, subject) >= explainedTriersPerFingerprint || !isExplainedByOther(state, suspect, fingerprints))
                return false;
        }
        for (const fingerprint subject : quarantined) {
            state.suspects.at(subject).nextExplainedTrial = now + explainedTrialInterval;
            report(state, subject, suspect_change::Tried, state.suspects.at(subject).crashes.size());
        }
        return true;
    }

} // namespace

const char* nameOf(suspect_change change)
{
    switch (change) {
    case suspect_change::Suspected:
        return "suspected";
    case suspect_change::Quarantined:
        return "quarantined";
    case suspect_change::Tried:
        return "tried";
    case suspect_change::Released:
        return "released";
    }
    return "unknown";
}

std::vector<fingerprint> unprovenAmong(const quarantine_state& state, const std::vector<fingerprint>& fingerprints, Common::instant now)
{
    std::vector<fingerprint> unproven;
    std::copy_if(fingerprints.begin(), fingerprints.end(), std::back_inserter(unproven), [&](fingerprint subject) { return !isSound(state, subject, now); });
    return unproven;
}

void recordCrash(quarantine_state& state, const unanswered_request& request, Common::instant now)
{
    addKnownCrash(state.history, request.start, { request.service, request.endedAt });
    for (const fingerprint subject : unprovenAmong(state, request.fingerprints, now)) {
        quarantine_statement statement { statement_kind::Crash, subject, request.start };
        statement.age = ageOf(request.endedAt, now);
        statement.service = request.service;
        statement.exposure = request.exposure;
        countCrash(state, statement, true, now);
        send(state, statement);
    }
}

void recordAnswer(quarantine_state& state, const std::vector<fingerprint>& fingerprints, Common::instant now)
{
    for (const fingerprint subject : fingerprints) {
        rememberSound(state.sound, subject, now);
        if (!state.suspects.contains(subject))
            continue;
        release(state, subject);
        send(state, { statement_kind::Sound, subject });
    }
}

void applyStatement(quarantine_state& state, const Common::node_id& from, const quarantine_statement& statement, Common::instant now)
{
    const quarantine_statement sound { statement_kind::Sound, statement.subject };
    if (statement.kind == statement_kind::Crash)
        addKnownCrash(state.history, statement.crashed, { statement.service, now - statement.age });
    if (statement.kind == statement_kind::Sound) {
        rememberSound(state.sound, statement.subject, now);
        if (release(state, statement.subject))
            send(state, sound);
        return;
    }
    if (isSound(state, statement.subject, now))
        return send(state, sound, from);
    if (statement.kind == statement_kind::Quarantined)
        return applyQuarantined(state, statement, now);
    countCrash(state, statement, false, now);
}

void applyStored(quarantine_state& state, const std::vector<stored_quarantine>& items, Common::instant now)
{
    for (const stored_quarantine& item : items) {
        if (isSound(state, item.subject, now))
            continue;
        suspect_record& suspect = findOrAddSuspect(state, item.subject, now);
        for (const endpoint_start& crash : item.crashes)
            addCrash(suspect, crash, { now });
        if (!suspect.isQuarantined)
            quarantine(state, item.subject, suspect, item.trials, now);
    }
}

quarantine_verdict judgeRequest(quarantine_state& state, const std::vector<fingerprint>& fingerprints, Common::instant now)
{
    const std::vector<fingerprint> quarantined = quarantinedAmong(state, fingerprints);
    if (quarantined.empty())
        return {};
    Common::instant nextTrial = now;
    for (const fingerprint subject : quarantined) {
        suspect_record& suspect = state.suspects.at(subject);
        suspect.lastSeen = now;
        nextTrial = std::max(nextTrial, suspect.nextTrial);
    }
    if (startExplainedTrial(state, fingerprints, quarantined, now))
        return { true, {} };
    // Parts that come together are tried together, by the node that is responsible for one of them.
    if (nextTrial > now || rankOf(state, *std::min_element(quarantined.begin(), quarantined.end())) != 0)
        return { false, std::max(minRefusalTime, ageOf(now, nextTrial)) };
    startTrial(state, quarantined, now);
    return { true, {} };
}

bool maySendElsewhere(const quarantine_state& state, const std::vector<fingerprint>& fingerprints, bool mayHaveRun, bool isTrial, Common::instant now)
{
    return std::none_of(fingerprints.begin(), fingerprints.end(), [&](fingerprint subject) {
        const auto found = state.suspects.find(subject);
        if (found == state.suspects.end())
            return false;
        if (mayHaveRun)
            return found->second.isQuarantined || isLikelyCause(state, found->second, now);
        return found->second.isQuarantined && !isTrial;
    });
}

void refresh(quarantine_state& state, Common::instant now)
{
    forgetOldSound(state.sound, now);
    forgetOldCrashes(state.history, now);
    std::vector<fingerprint> forgotten;
    for (const auto& [subject, suspect] : state.suspects) {
        if (now - suspect.lastSeen > suspectRetention)
            forgotten.push_back(subject);
    }
    for (const fingerprint subject : forgotten)
        release(state, subject);
    if (now - state.lastRepeat < repeatInterval)
        return;
    state.lastRepeat = now;
    for (const auto& [subject, suspect] : state.suspects) {
        if (suspect.isQuarantined && rankOf(state, subject) < repeatersPerFingerprint)
            send(state, quarantinedStatement(subject, suspect, now));
    }
}

} // namespace Quarantine
