#pragma once

/// @file
/// Usage counts on their way to the store: the nodes of a zone send theirs to the zone's relay, which writes them in one
/// transaction. A node whose counts are not confirmed in time writes them itself. Both write the same rows, so counts that
/// are written twice count once. Pure: no clock, no socket.

#include "Store/Rows.h"
#include "Usage/Usage.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Control {

using std::chrono::milliseconds;

/// Numbers the messages of one node; a confirmation names the number.
using count_sequence = Common::strong_type<struct count_sequence_tag, uint64_t>;

/// Count rows of one node.
struct relayed_counts {
    count_sequence sequence;
    std::vector<Store::row_write> rows;
};

/// Counts that a relay has received and not written yet.
struct count_relay {
    std::map<Common::node_id, relayed_counts> waiting;
    Common::instant writeAt; ///< When the waiting counts are due.
    bool isWriting { false };
};

/// Counts that one transaction writes.
struct count_batch {
    Store::transaction write;
    std::vector<std::pair<Common::node_id, count_sequence>> senders; ///< Get a confirmation.
};

/// Adds a node's counts. They replace its waiting ones, whose windows they include.
void addCounts(count_relay& relay, const Common::node_id& from, relayed_counts counts, Common::instant now);

/// @return the next transaction when one is due; it is in progress until `isWriting` is reset.
std::optional<count_batch> takeBatch(count_relay& relay, Common::instant now);

/// Counts that a node has sent to its relay and that are not confirmed yet.
struct unconfirmed_counts {
    count_sequence sequence;
    Common::instant sentAt;
    std::map<Usage::window_number, Usage::account_counts> windows;
};

/// A node's side.
struct count_sender {
    count_sequence last;
    std::optional<unconfirmed_counts> sent;
    Common::instant directUntil; ///< Until then this node writes its counts itself.
};

/// Gives up waiting for a confirmation that is late: the node then writes its counts itself for a while.
void expireUnconfirmed(count_sender& sender, Common::instant now);

/// @return the windows that a confirmation is about; empty if it is not about the counts sent last.
std::map<Usage::window_number, Usage::account_counts> confirm(count_sender& sender, count_sequence sequence);

} // namespace Control
