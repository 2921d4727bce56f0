#pragma once

/// @file
/// Usage from every node's counts to one report a window. The report is written to the store under a condition before it
/// is sent, so that every later holder of the lease sends the same. Pure: no clock, no socket.

#include "Store/Rows.h"
#include "Usage/Usage.h"

#include <map>
#include <optional>
#include <variant>

namespace Control {

using std::chrono::milliseconds;

enum class report_stage {
    Collect, ///< Read the nodes' counts.
    Record, ///< Write the report, if there is none.
    Send, ///< Send the report.
};

/// One window on its way to the cloud.
struct window_report {
    report_stage stage { report_stage::Collect };
    Usage::account_counts counts;
    std::vector<Store::row_name> countRows; ///< Of this window, to be removed once it is reported.
    size_t removals { 0 }; ///< Of obsolete rows, written along with the report.
    Common::instant nextTry;
};

struct usage_reporter {
    milliseconds windowLength { 5000 };
    milliseconds due { 10000 }; ///< After a window's end.
    std::map<Usage::window_number, window_report> pending;
    std::optional<Usage::window_number> lastBegun; ///< Newest window that was taken up.
    std::vector<Store::row_name> obsolete; ///< Rows of reported windows.
    bool isCalling { false };
};

/// Read the counts that all nodes have written for a window.
struct read_counts {
    Usage::window_number window;
    Store::range rows;
};

/// Write the report of a window, if there is none.
struct record_report {
    Usage::window_number window;
    Store::transaction transaction;
};

/// Send the report of a window to the cloud.
struct send_report {
    Usage::window_number window;
    Usage::account_counts counts;
};

/// Remove rows that are needed no more and were too many to go along with reports.
struct forget_rows {
    Store::transaction transaction;
};

using usage_step = std::variant<read_counts, record_report, send_report, forget_rows>;

/// The row that a process writes its counts of a window to. A node that starts again counts from zero: its rows are kept
/// apart from those of its earlier process.
Store::row_name countRow(Usage::window_number window, const Common::node_id& node, Common::incarnation_number incarnation);

/// @param reporter of the lease's holder; a step that is returned counts as under way.
/// @param now true time, and the local clock.
/// @return the next step that is due.
std::optional<usage_step> nextStep(usage_reporter& reporter, Usage::true_time trueNow, Common::instant now);

/// Takes the nodes' counts of a window.
void takeCounts(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now);
/// Takes the end of writing a report: an earlier holder's report goes before this node's own.
void takeRecorded(usage_reporter& reporter, Usage::window_number window, const Store::rows_answer& answer, Common::instant now);
/// Takes the end of sending a report.
void takeSent(usage_reporter& reporter, Usage::window_number window, bool isDone, Common::instant now);

/// Takes the end of removing rows.
void takeForgotten(usage_reporter& reporter, const forget_rows& step, const Store::rows_answer& answer);

/// Another node holds the lease.
void resetReporter(usage_reporter& reporter);

} // namespace Control
