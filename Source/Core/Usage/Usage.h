#pragma once

/// @file
/// How many requests of each client account began in each window of true time. Pure: no clock, no socket.

#include "Common/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Usage {

using std::chrono::milliseconds;

/// Number of a window: it begins that many window lengths after the start of 1970.
using window_number = Common::strong_type<struct window_number_tag, int64_t>;
/// Unix milliseconds of true time, as the nodes agree on it.
using true_time = Common::strong_type<struct true_time_tag, int64_t>;

/// One request that an endpoint began to run.
struct begun_request {
    Common::account_id account;
    Common::instant at;
};

using account_counts = std::map<Common::account_id, uint64_t>;

/// What this node has counted and not yet forgotten.
struct usage_counter {
    milliseconds windowLength { 5000 };
    std::map<window_number, account_counts> windows;
    std::map<window_number, account_counts> written; ///< As the store has it.
};

/// @param at a moment.
/// @param length of a window.
/// @return the window that holds the moment.
window_number windowOf(true_time at, milliseconds length);

/// @param number a window.
/// @param length of a window.
/// @return the moment at which the window ends.
true_time endOf(window_number number, milliseconds length);

/// Counts a request.
void countBegun(usage_counter& counter, const Common::account_id& account, true_time at);

/// @param counter what this node has counted.
/// @return windows whose counts the store does not have yet.
std::vector<window_number> unwrittenWindows(const usage_counter& counter);

/// The store has this node's counts of a window.
void noteWritten(usage_counter& counter, window_number number, const account_counts& counts);

/// Forgets windows before a number.
void forgetBefore(usage_counter& counter, window_number oldest);

/// Adds counts to a sum.
void addCounts(account_counts& sum, const account_counts& counts);

/// @param counts counts of a window.
/// @return their text in a row of the store.
std::string encodeCounts(const account_counts& counts);

/// @param text a row of the store.
/// @return the counts, or nothing when it can't be read.
std::optional<account_counts> decodeCounts(const std::string& text);

} // namespace Usage
