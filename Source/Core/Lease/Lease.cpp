#include "Lease/Lease.h"

#include "Common/Json.h"

#include <algorithm>

namespace Lease {

namespace {

    constexpr const char* leaseTable = "filbertreel";
    constexpr const char* leaseKey = "lease";
    /// Allowance for the difference between the clocks of two nodes that determine whether a lease has lapsed.
    constexpr milliseconds clockTolerance { 200 };
    constexpr milliseconds retryDelay { 250 };
    /// A holder writes the row anew within its lease. An unchanged row is over after this, whatever it states.
    constexpr milliseconds longestLease { 60000 };
    /// A holder gives up its predecessors' count of nodes after this time.
    constexpr milliseconds nodeCountMemory { 60000 };
    /// Position of the era in a fencing token.
    constexpr uint32_t eraShift = 40;

    /// @return a lower bound of the store's clock at a local time.
    Store::store_time earliestStoreTime(const clock_reading& clock, Common::instant now)
    {
        return { clock.now.value + std::chrono::duration_cast<milliseconds>(now - clock.receivedAt).count() };
    }

    /// @return the earliest local time at which the store's clock may reach `time`.
    Common::instant earliestLocalTime(const clock_reading& clock, Store::store_time time)
    {
        return clock.sentAt + milliseconds(time.value - clock.now.value);
    }

    /// @return whether the row may be claimed although it doesn't tell who held the lease last. A late write by a node
    /// that doesn't know the era yet begins the wait anew.
    bool isEarlierEraOver(const lease_state& state, Common::instant now)
    {
        return now < state.reacquireUntil || now - state.versionSeenAt > state.settings.duration + clockTolerance;
    }

    bool isLapsed(const lease_state& state, Common::instant now)
    {
        if (state.lastSeen ? state.lastSeen->era < state.era : state.hasEraRisen)
            return isEarlierEraOver(state, now);
        return !state.lastSeen || now - state.versionSeenAt > longestLease || earliestStoreTime(state.clock, now).value - clockTolerance.count() > state.lastSeen->until.value;
    }

    /// @return the number of nodes to write: those that are being restarted count.
    uint64_t nodesToWrite(const lease_state& state, Common::instant now)
    {
        const bool isLongHeld = state.isHeld && now - state.heldSince > nodeCountMemory;
        const uint64_t seen = state.lastSeen && !isLongHeld ? state.lastSeen->nodes : 0;
        return std::max(state.knownNodes, seen);
    }

    lease_call makeClaim(lease_state& state, Common::instant now)
    {
        lease_record record;
        record.holder = state.settings.self;
        record.until = { earliestStoreTime(state.clock, now).value + state.settings.duration.count() };
        record.nonce = ++state.lastNonce;
        record.era = state.era;
        record.nodes = nodesToWrite(state, now);
        state.claimed = record;
        Store::transaction claim;
        claim.conditions.push_back({ leaseRow(), state.version });
        claim.writes.push_back({ leaseRow(), encodeRecord(record) });
        return claim;
    }

    void applyRow(lease_state& state, const std::vector<Store::row>& rows, Common::instant now)
    {
        const Store::row_version previous = state.version;
        state.lastSeen.reset();
        state.version = {};
        for (const Store::row& row : rows) {
            if (row.name != leaseRow() || row.isRemoved)
                continue;
            state.lastSeen = decodeRecord(row.value);
            state.version = row.version;
        }
        if (state.version != previous)
            state.versionSeenAt = now;
    }

    bool isOwnClaim(const lease_state& state)
    {
        return state.lastSeen && state.lastSeen->era == state.era && state.lastSeen->holder == state.settings.self && state.lastSeen->nonce == state.lastNonce && state.lastNonce != 0;
    }

    void updateOwnership(lease_state& state)
    {
        const bool wasHeld = state.isHeld;
        state.isHeld = isOwnClaim(state) && !state.mustRenew;
        if (!state.isHeld)
            return;
        if (!wasHeld)
            state.heldSince = state.clock.receivedAt;
        state.fence = makeFence(state.era, state.version);
        state.heldUntil = earliestLocalTime(state.clock, state.lastSeen->until);
    }

    void scheduleNext(lease_state& state, Common::instant now)
    {
        if (state.isHeld) {
            state.nextCall = state.sentAt + state.settings.renewInterval;
            return;
        }
        const bool mayClaim = isLapsed(state, now) || (isOwnClaim(state) && state.mustRenew);
        state.mustRead = !mayClaim;
        state.nextCall = state.mustRead ? now + state.settings.watchInterval : now;
    }

    void updateClock(lease_state& state, const Store::rows_answer& answer, Common::instant now)
    {
        state.clock = { answer.now, state.sentAt, now };
    }

    void readNext(lease_state& state, Common::instant at)
    {
        state.mustRead = true;
        state.nextCall = at;
    }

} // namespace

Store::row_name leaseRow()
{
    return { leaseTable, "", leaseKey };
}

std::optional<lease_call> nextCall(lease_state& state, Common::instant now)
{
    if (state.isHeld && now >= state.heldUntil) {
        state.isHeld = false;
        state.mustRead = true;
    }
    if (state.isCalling || state.isResigning || now < state.nextCall)
        return {};
    state.isCalling = true;
    state.sentAt = now;
    state.isReading = state.mustRead;
    if (state.isReading)
        return Store::range { leaseTable, "", leaseKey, "", 1 };
    return makeClaim(state, now);
}

void beginEra(lease_state& state, Store::store_era era, Common::instant now)
{
    if (era <= state.era)
        return;
    state.era = era;
    state.hasEraRisen = state.clock.receivedAt != Common::instant {};
    if ((state.isHeld || state.mustRenew) && now < state.heldUntil)
        state.reacquireUntil = state.heldUntil;
    state.isHeld = false;
    state.mustRenew = false;
    state.lastSeen.reset();
    state.version = {};
    state.versionSeenAt = now;
    readNext(state, now);
}

fencing_token makeFence(Store::store_era era, Store::row_version version)
{
    return { (era.value << eraShift) + version.value };
}

void handleAnswer(lease_state& state, const Store::rows_answer& answer, Common::instant now)
{
    beginEra(state, answer.era, now);
    state.isCalling = false;
    // It isn't known in which era such a write was performed.
    const bool isClaimOfEarlierEra = !state.isReading && state.claimed.era < state.era;
    if (isClaimOfEarlierEra || Store::isOutdated(answer, state.era))
        return readNext(state, now + retryDelay);
    switch (answer.outcome) {
    case Store::call_outcome::Done:
        updateClock(state, answer, now);
        if (state.isReading) {
            applyRow(state, answer.rows, now);
        } else {
            state.version = answer.newest;
            state.versionSeenAt = now;
            state.lastSeen = state.claimed;
            state.mustRenew = false;
        }
        state.mustRead = false;
        updateOwnership(state);
        return scheduleNext(state, now);
    case Store::call_outcome::ConditionFailed:
        updateClock(state, answer, now);
        applyRow(state, answer.rows, now);
        updateOwnership(state);
        return scheduleNext(state, now);
    case Store::call_outcome::HistoryLost:
    case Store::call_outcome::Refused:
    case Store::call_outcome::Unknown:
        // The write may have been applied. The read shows it by its nonce.
        return readNext(state, now + retryDelay);
    }
}

bool mayAct(const lease_state& state, Common::instant now)
{
    return state.isHeld && now + state.settings.orderTime < state.heldUntil;
}

void requireRenewal(lease_state& state, Common::instant now)
{
    if (!state.isHeld)
        return;
    state.isHeld = false;
    state.mustRenew = true;
    state.mustRead = false;
    state.nextCall = now;
}

std::string encodeRecord(const lease_record& record)
{
    return nlohmann::json { { "holder", record.holder.value }, { "until", record.until.value }, { "nonce", record.nonce }, { "era", record.era.value }, { "nodes", record.nodes } }.dump();
}

std::optional<lease_record> decodeRecord(const std::string& text)
{
    const nlohmann::json body = Common::parseJson(text);
    if (!Common::memberOf(body, "holder").is_string() || !Common::isIntegerOf<int64_t>(Common::memberOf(body, "until")))
        return {};
    lease_record record;
    record.holder = { Common::textMember(body, "holder") };
    record.until = { Common::integerMember<int64_t>(body, "until") };
    record.nonce = Common::integerMember<uint64_t>(body, "nonce");
    record.era = { Common::integerMember<uint64_t>(body, "era") };
    record.nodes = Common::integerMember<uint64_t>(body, "nodes");
    return record;
}

} // namespace Lease
