#include "Membership/LeaseCodec.h"

#include "Protocol/peer.pb.h"

#include <algorithm>
#include <cmath>

namespace Membership {

namespace {

    constexpr uint32_t askKind = 1;
    constexpr uint32_t answerKind = 2;

    void encode(const Quota::lease_ask& item, filbertreel::peer::account_lease& record)
    {
        record.set_kind(askKind);
        record.set_account(item.account.value);
        record.set_incarnation(item.incarnation.value);
        record.set_sequence(item.sequence);
        record.set_used(item.used);
        record.set_settled(item.settled);
        record.set_need(item.need);
        record.set_waiting(item.waiting);
        record.set_wanted(item.wanted);
        record.set_is_settled(item.isSettled);
    }

    void encode(const Quota::lease_answer& item, filbertreel::peer::account_lease& record)
    {
        record.set_kind(answerKind);
        record.set_account(item.account.value);
        record.set_incarnation(item.incarnation.value);
        record.set_sequence(item.sequence);
        record.set_credited(item.credited);
        record.set_level(item.level);
        record.set_is_limited(item.isLimited);
        record.set_retry_after_ms(static_cast<uint32_t>(item.retryAfter.count()));
    }

    bool isAmount(double value)
    {
        return std::isfinite(value) && value >= 0;
    }

    std::optional<Quota::lease_message> decodeAsk(const filbertreel::peer::account_lease& record)
    {
        // Totals may be negative for a moment, after refunds.
        if (!std::isfinite(record.used()) || !std::isfinite(record.settled()) || !isAmount(record.need()) || !isAmount(record.waiting()) || !isAmount(record.wanted()))
            return {};
        return Quota::lease_ask { { record.account() }, { record.incarnation() }, record.sequence(), record.used(), record.settled(), record.need(), record.waiting(), record.wanted(), record.is_settled() };
    }

    std::optional<Quota::lease_message> decodeAnswer(const filbertreel::peer::account_lease& record)
    {
        if (!std::isfinite(record.credited()) || !std::isfinite(record.level()))
            return {};
        return Quota::lease_answer { { record.account() }, { record.incarnation() }, record.sequence(), record.credited(), record.level(), record.is_limited(), Quota::milliseconds(record.retry_after_ms()) };
    }

} // namespace

void encodeLease(const Quota::lease_message& item, filbertreel::peer::account_lease& record)
{
    std::visit([&record](const auto& message) { encode(message, record); }, item);
}

std::optional<Quota::lease_message> decodeLease(const filbertreel::peer::account_lease& record)
{
    switch (record.kind()) {
    case askKind:
        return decodeAsk(record);
    case answerKind:
        return decodeAnswer(record);
    default:
        return {};
    }
}

} // namespace Membership
