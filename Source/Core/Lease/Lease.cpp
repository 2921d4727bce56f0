#include "Lease/Lease.h"

#include <nlohmann/json.hpp>

namespace Lease {

namespace {

    constexpr const char* leaseTable = "filbertreel";
    constexpr const char* leaseKey = "lease";
    /// An order sent this close to the lease's end may arrive behind it.
    constexpr milliseconds actMargin { 400 };
    /// Two clocks that a lapsed lease is judged by may differ by this.
    constexpr milliseconds lapseMargin { 200 };
    constexpr milliseconds retryPause { 250 };

    /// The store's clock at a local moment, never later than it really is.
    Store::store_time storeAtLeast(const clock_reading& clock, Common::instant now)
    {
        return { clock.now.value + std::chrono::duration_cast<milliseconds>(now - clock.receivedAt).count() };
    }

    /// The local moment by which the store's clock may have reached a time.
    Common::instant earliestLocal(const clock_reading& clock, Store::store_time time)
    {
        return clock.sentAt + milliseconds(time.value - clock.now.value);
    }

    bool isLapsed(const lease_state& state, Common::instant now)
    {
        return !state.seen || storeAtLeast(state.clock, now).value > state.seen->until.value + lapseMargin.count();
    }

    lease_call makeClaim(lease_state& state, Common::instant now)
    {
        lease_record record;
        record.holder = state.settings.self;
        record.until = { storeAtLeast(state.clock, now).value + state.settings.duration.count() };
        record.nonce = ++state.lastNonce;
        state.claimed = record;
        Store::transaction claim;
        claim.conditions.push_back({ leaseRow(), state.version });
        claim.writes.push_back({ leaseRow(), encodeRecord(record) });
        return claim;
    }

    void takeRow(lease_state& state, const std::vector<Store::row>& rows)
    {
        state.seen.reset();
        state.version = {};
        for (const Store::row& item : rows) {
            if (item.name != leaseRow() || item.isRemoved)
                continue;
            state.seen = decodeRecord(item.value);
            state.version = item.version;
        }
    }

    void takeOwnership(lease_state& state)
    {
        const bool isOwn = state.seen && state.seen->holder == state.settings.self && state.seen->nonce == state.lastNonce && state.lastNonce != 0;
        state.isHeld = isOwn;
        if (!isOwn)
            return;
        state.fence = { state.version.value };
        state.heldUntil = earliestLocal(state.clock, state.seen->until);
    }

    void scheduleNext(lease_state& state, Common::instant now)
    {
        if (state.isHeld) {
            state.nextCall = state.sentAt + state.settings.renewInterval;
            return;
        }
        state.mustRead = !isLapsed(state, now);
        state.nextCall = state.mustRead ? now + state.settings.watchInterval : now;
    }

    void readClock(lease_state& state, const Store::rows_answer& answer, Common::instant now)
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
    if (state.mustRead)
        return Store::range { leaseTable, "", leaseKey, "", 1 };
    return makeClaim(state, now);
}

void takeAnswer(lease_state& state, const Store::rows_answer& answer, Common::instant now)
{
    state.isCalling = false;
    const bool wasRead = state.mustRead;
    switch (answer.outcome) {
    case Store::call_outcome::Done:
        readClock(state, answer, now);
        if (wasRead) {
            takeRow(state, answer.rows);
        } else {
            state.version = answer.newest;
            state.seen = state.claimed;
        }
        state.mustRead = false;
        takeOwnership(state);
        return scheduleNext(state, now);
    case Store::call_outcome::ConditionFailed:
        readClock(state, answer, now);
        takeRow(state, answer.rows);
        takeOwnership(state);
        return scheduleNext(state, now);
    case Store::call_outcome::HistoryLost:
    case Store::call_outcome::Refused:
    case Store::call_outcome::Unknown:
        // A write of unknown fate is found again by its nonce.
        state.mustRead = true;
        state.nextCall = now + retryPause;
        return;
    }
}

bool mayAct(const lease_state& state, Common::instant now)
{
    return state.isHeld && now + actMargin < state.heldUntil;
}

void raiseFence(lease_state& state, Common::instant now)
{
    state.isHeld = false;
    state.mustRead = false;
    state.nextCall = now;
}

std::string encodeRecord(const lease_record& item)
{
    return nlohmann::json { { "holder", item.holder.value }, { "until", item.until.value }, { "nonce", item.nonce } }.dump();
}

std::optional<lease_record> decodeRecord(const std::string& text)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("until"))
        return {};
    return lease_record { { body.value("holder", "") }, { body.value("until", int64_t { 0 }) }, body.value("nonce", uint64_t { 0 }) };
}

} // namespace Lease
