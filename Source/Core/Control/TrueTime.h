#pragma once

/// @file
/// True time that doesn't depend on a single machine's wall clock: the store's steady clock plus the median offset of
/// the nodes' wall clocks to it. Pure: no clock, no socket.

#include "Store/Rows.h"
#include "Usage/Usage.h"

#include <optional>
#include <vector>

namespace Control {

/// A reading of the store's clock, with the local time at which it was received.
struct store_reading {
    Store::store_time storeNow;
    Common::instant localNow;
};

/// Keeps the reading that was on its way for the shortest time: an answer that took long to arrive or to be handled tells an
/// older time of the store.
/// @param known replaced if the candidate is no later than it, or if it is old.
void updateReading(std::optional<store_reading>& known, const store_reading& candidate);

/// @param offsets the nodes' wall clocks minus the store's clock, in milliseconds.
/// @return their median (the upper one of an even number); nothing when `offsets` is empty.
std::optional<int64_t> medianOffset(std::vector<int64_t> offsets);

/// @param reading a reading of the store's clock.
/// @param time a time of the store's clock.
/// @return the local time at which the store's clock shows it.
Common::instant localTimeOf(const store_reading& reading, Store::store_time time);

/// @param reading the newest reading of the store's clock.
/// @param offset true time minus the store's clock, in milliseconds.
/// @param now local time.
/// @return true time at `now`.
Usage::true_time trueTimeAt(const store_reading& reading, int64_t offset, Common::instant now);

} // namespace Control
