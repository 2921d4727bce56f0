#include "Control/UsageRelay.h"

namespace Control {

namespace {

    void confirmWritten(usage_relay& relaying, const Common::node_id& node, count_sequence sequence)
    {
        if (node == relaying.context.settings.self.node)
            confirmCounts(relaying.usage, sequence);
        else
            relaying.outlets.confirmUsageCounts(node, sequence.value);
    }

} // namespace

void writeUsageCounts(usage_relay& relaying, const std::optional<Common::node_id>& relay, Common::instant now)
{
    const Common::node_id& self = relaying.context.settings.self.node;
    auto message = writeCounts(relaying.usage, relay, now);
    if (!message)
        return;
    if (message->relay == self)
        return addCounts(relaying.received, self, std::move(message->counts), now);
    std::vector<std::pair<std::string, std::string>> rows;
    rows.reserve(message->counts.rows.size());
    for (Store::row_write& row : message->counts.rows)
        rows.emplace_back(std::move(row.name.key), std::move(row.value));
    relaying.outlets.sendUsageCounts(message->relay, message->counts.sequence.value, std::move(rows));
}

void addRelayedCounts(usage_relay& relaying, usage_counts_received&& message, Common::instant now)
{
    relayed_counts counts { { message.sequence }, {} };
    counts.rows.reserve(message.rows.size());
    for (auto& [key, value] : message.rows)
        counts.rows.push_back({ countRow(key), std::move(value) });
    addCounts(relaying.received, message.from, std::move(counts), now);
}

void writeRelayedCounts(usage_relay& relaying, Common::instant now)
{
    const auto batch = takeBatch(relaying.received, now);
    if (!batch)
        return;
    relaying.context.commit(batch->write, [&relaying, senders = batch->senders](const Store::rows_answer& answer) {
        relaying.received.isWriting = false;
        // Without a confirmation the senders write their counts themselves.
        if (answer.outcome != Store::call_outcome::Done)
            return;
        for (const auto& [node, sequence] : senders)
            confirmWritten(relaying, node, sequence);
    });
}

} // namespace Control
