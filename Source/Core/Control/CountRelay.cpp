#include "Control/CountRelay.h"

namespace Control {

namespace {

    /// Collects the counts of the zone's nodes, which send them at the same time by their clocks.
    constexpr milliseconds batchDelay { 250 };
    /// The store accepts 100 entries per transaction.
    constexpr size_t maxBatchRows = 90;
    /// Longer than the relay's delay and its call. A node that writes its final counts itself after this is still in time
    /// for the report of the window.
    constexpr milliseconds confirmationTimeout { 1600 };
    constexpr milliseconds directPeriod { 5000 };

} // namespace

void addCounts(count_relay& relay, const Common::node_id& from, relayed_counts counts, Common::instant now)
{
    if (relay.waiting.empty())
        relay.writeAt = now + batchDelay;
    relay.waiting[from] = std::move(counts);
}

std::optional<count_batch> takeBatch(count_relay& relay, Common::instant now)
{
    if (relay.isWriting || relay.waiting.empty() || now < relay.writeAt)
        return {};
    count_batch batch;
    while (!relay.waiting.empty()) {
        auto next = relay.waiting.begin();
        const bool isFull = batch.write.writes.size() + next->second.rows.size() > maxBatchRows;
        if (isFull && !batch.senders.empty())
            break;
        batch.senders.emplace_back(next->first, next->second.sequence);
        for (Store::row_write& row : next->second.rows)
            batch.write.writes.push_back(std::move(row));
        relay.waiting.erase(next);
    }
    relay.isWriting = true;
    return batch;
}

void expireUnconfirmed(count_sender& sender, Common::instant now)
{
    if (!sender.sent || now - sender.sent->sentAt < confirmationTimeout)
        return;
    sender.sent.reset();
    sender.directUntil = now + directPeriod;
}

std::map<Usage::window_number, Usage::account_counts> confirm(count_sender& sender, count_sequence sequence)
{
    if (!sender.sent || sender.sent->sequence != sequence)
        return {};
    auto windows = std::move(sender.sent->windows);
    sender.sent.reset();
    return windows;
}

} // namespace Control
