#include "Lease/Lease.h"

#include <nlohmann/json.hpp>

namespace Lease {

namespace {

    constexpr const char* leaseTable = "filbertreel";
    constexpr const char* leaseKey = "lease";
    /// Allowance for the difference between the clocks of two nodes that determine whether a lease has lapsed.
    constexpr milliseconds clockTolerance { 200 };
    constexpr milliseconds retryDelay { 250 };

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

    bool isLapsed(const lease_state& state, Common::instant now)
    {
        return !state.lastSeen || earliestStoreTime(state.clock, now).value > state.lastSeen->until.value + clockTolerance.count();
    }

    lease_call makeClaim(lease_state& state, Common::instant now)
    {
        lease_record record;
        record.holder = state.settings.self;
        record.until = { earliestStoreTime(state.clock, now).value + state.settings.duration.count() };
        record.nonce = ++state.lastNonce;
        state.claimed = record;
        Store::transaction claim;
        claim.conditions.push_back({ leaseRow(), state.version });
        claim.writes.push_back({ leaseRow(), encodeRecord(record) });
        return claim;
    }

    void applyRow(lease_state& state, const std::vector<Store::row>& rows)
    {
        state.lastSeen.reset();
        state.version = {};
        for (const Store::row& row : rows) {
            if (row.name != leaseRow() || row.isRemoved)
                continue;
            state.lastSeen = decodeRecord(row.value);
            state.version = row.version;
        }
    }

    bool isOwnClaim(const lease_state& state)
    {
        return state.lastSeen && state.lastSeen->holder == state.settings.self && state.lastSeen->nonce == state.lastNonce && state.lastNonce != 0;
    }

    void updateOwnership(lease_state& state)
    {
        state.isHeld = isOwnClaim(state) && !state.mustRenew;
        if (!state.isHeld)
            return;
        state.fence = { state.version.value };
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

void handleAnswer(lease_state& state, const Store::rows_answer& answer, Common::instant now)
{
    state.isCalling = false;
    switch (answer.outcome) {
    case Store::call_outcome::Done:
        updateClock(state, answer, now);
        if (state.isReading) {
            applyRow(state, answer.rows);
        } else {
            state.version = answer.newest;
            state.lastSeen = state.claimed;
            state.mustRenew = false;
        }
        state.mustRead = false;
        updateOwnership(state);
        return scheduleNext(state, now);
    case Store::call_outcome::ConditionFailed:
        updateClock(state, answer, now);
        applyRow(state, answer.rows);
        updateOwnership(state);
        return scheduleNext(state, now);
    case Store::call_outcome::HistoryLost:
    case Store::call_outcome::Refused:
    case Store::call_outcome::Unknown:
        // The write may have been applied. The read shows it by its nonce.
        state.mustRead = true;
        state.nextCall = now + retryDelay;
        return;
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
    return nlohmann::json { { "holder", record.holder.value }, { "until", record.until.value }, { "nonce", record.nonce } }.dump();
}

std::optional<lease_record> decodeRecord(const std::string& text)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("until"))
        return {};
    return lease_record { { body.value("holder", "") }, { body.value("until", int64_t { 0 }) }, body.value("nonce", uint64_t { 0 }) };
}

} // namespace Lease
