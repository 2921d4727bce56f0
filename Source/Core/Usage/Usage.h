#pragma once

/// @file
/// Counts of begun requests by client account and window of true time. Pure: no clock, no socket.

#include "Common/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Usage {

using std::chrono::milliseconds;

/// Number of a window: it starts this many window lengths after the Unix epoch.
using window_number = Common::strong_type<struct window_number_tag, int64_t>;
/// Unix time in milliseconds by the clock that all nodes share, independent of a single machine's wall clock.
using true_time = Common::strong_type<struct true_time_tag, int64_t>;

/// A request that an endpoint has begun to run.
struct begun_request {
    Common::account_id account;
    Common::instant at; ///< Local time at which it began.
};

using account_counts = std::map<Common::account_id, uint64_t>;

/// This node's counts of the recent windows.
struct usage_counter {
    milliseconds windowLength { 5000 };
    std::map<window_number, account_counts> windows;
    std::map<window_number, account_counts> written; ///< Counts last written to the store.
};

/// @param at a time.
/// @param length length of a window.
/// @return the window that contains the time.
window_number windowOf(true_time at, milliseconds length);

/// @param number a window.
/// @param length length of a window.
/// @return end of the window.
true_time endOf(window_number number, milliseconds length);

/// Adds a begun request to the window that contains `at`.
void countRequest(usage_counter& counter, const Common::account_id& account, true_time at);

/// @param counter this node's counts.
/// @return windows whose current counts have not been written to the store.
std::vector<window_number> unwrittenWindows(const usage_counter& counter);

/// Marks the counts of a window as written to the store.
void markWritten(usage_counter& counter, window_number number, const account_counts& counts);

/// Removes all windows before `oldest`.
void removeBefore(usage_counter& counter, window_number oldest);

/// Adds the counts to the sum, account by account.
void addCounts(account_counts& sum, const account_counts& counts);

/// @param counts counts of a window.
/// @return their JSON text for a row of the store.
std::string encodeCounts(const account_counts& counts);

/// @param text value of a row of the store.
/// @return the counts, or nothing when the text is not valid.
std::optional<account_counts> decodeCounts(const std::string& text);

} // namespace Usage
