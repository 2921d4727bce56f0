#pragma once

/// @file
/// Combines the usage counts of all nodes into one report per window. The report is written to the store conditionally
/// before it is sent, so that a later lease holder sends the same report. Pure: no clock, no socket.
///
/// When the store begins a new era, reports may have been lost that were sent already. A node that knows such a report
/// writes it again as it was. A node that knows none sends only what the store still holds, because a report of its own
/// could differ from the one that was sent.

#include "Store/Rows.h"
#include "Usage/Usage.h"

#include <map>
#include <optional>
#include <variant>

namespace Control {

using std::chrono::milliseconds;

enum class report_stage {
    Find, ///< Read the report, which an earlier holder may have sent; without one the window is not reported.
    Collect, ///< Read the nodes' counts.
    Record, ///< Write the report to the store, if there is none.
    Send, ///< Send the report to the cloud.
};

/// Progress of the report of one window.
struct window_report {
    report_stage stage { report_stage::Collect };
    Usage::account_counts counts;
    std::vector<Store::row_name> countRows; ///< Rows of this window, to be removed once it is reported.
    size_t removals { 0 }; ///< Number of obsolete rows removed in the transaction that writes the report.
    Common::instant nextTry;
};

/// A report that this node has found in the store or written there.
struct known_report {
    Usage::account_counts counts;
    bool isSent { false }; ///< The cloud has accepted it from this node.
};

struct usage_reporter {
    milliseconds windowLength { 5000 };
    milliseconds due { 10000 }; ///< Time after a window's end by which its report must be sent.
    std::map<Usage::window_number, window_report> pending;
    std::map<Usage::window_number, known_report> known; ///< Of the windows that can still be reported; kept over tenures.
    std::optional<Usage::true_time> eraBegan; ///< When this node learned of the store's era; empty: the era is 0.
    Common::instant collectFrom; ///< Until then the nodes may still be writing their counts again.
    std::optional<Usage::window_number> newestAdded; ///< Newest window added to `pending`.
    std::vector<Store::row_name> obsolete; ///< Rows of reported windows, still to be removed.
    bool isCalling { false }; ///< A step is in progress.
};

/// Read the report of a window.
struct find_report {
    Usage::window_number window;
    Store::range rows;
};

/// Read the counts of a window that the nodes have written.
struct read_counts {
    Usage::window_number window;
    Store::range rows;
};

/// Write the report of a window to the store, if there is none.
struct record_report {
    Usage::window_number window;
    Store::transaction transaction;
};

/// Send the report of a window to the cloud.
struct send_report {
    Usage::window_number window;
    Usage::account_counts counts;
};

/// Remove obsolete rows that did not fit into the transactions of the reports.
struct remove_rows {
    Store::transaction transaction;
};

using usage_step = std::variant<find_report, read_counts, record_report, send_report, remove_rows>;

/// Name of the row with one process's counts of a window. A restarted node counts from zero, so the name contains the
/// incarnation: the new process must not overwrite the counts of the previous one.
Store::row_name countRow(Usage::window_number window, const Common::node_id& node, Common::incarnation_number incarnation);

/// @param key of a row with usage counts.
/// @return the name of the row.
Store::row_name countRow(const std::string& key);

/// @param reporter the lease holder's reporter. A returned step is in progress until its handle function is called.
/// @param trueNow current true time.
/// @param now current local time.
/// @return the next step that is due, if any.
std::optional<usage_step> nextStep(usage_reporter& reporter, Usage::true_time trueNow, Common::instant now);

/// Begins a new era of the store: windows whose report is not known here and may have been sent in the era before are
/// looked up instead of collected, and known reports are written again.
/// @param reporter changed in place.
/// @param trueNow true time when this node learned of the era.
/// @param now the same by the local clock.
void beginEra(usage_reporter& reporter, Usage::true_time trueNow, Common::instant now);

/// Handles the answer to find_report.
/// @return whether the window was given up because there is no report.
bool handleFound(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now);
/// Handles the answer to read_counts.
void handleCounts(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now);
/// Handles the answer to record_report. If a previous lease holder has already written a report, that one is sent.
/// @return whether the window was given up because the store holds another report than the one known here.
bool handleRecorded(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now);
/// Handles the answer to send_report.
void handleSent(usage_reporter& reporter, Usage::window_number window, bool isDone, Common::instant now);

/// Handles the answer to remove_rows.
void handleRemoved(usage_reporter& reporter, const remove_rows& step, const Store::rows_answer& answer);

/// Clears all state but the known reports. Needed when another node may have sent reports since.
void resetReporter(usage_reporter& reporter);

} // namespace Control
