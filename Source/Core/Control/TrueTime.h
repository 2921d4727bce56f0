#pragma once

/// @file
/// True time without trust in one machine's time of day: the median over the nodes of how far their time of day lies
/// ahead of the store's steady clock. Pure: no clock, no socket.

#include "Store/Rows.h"
#include "Usage/Usage.h"

#include <optional>
#include <vector>

namespace Control {

/// The store's clock read at a local moment.
struct store_reading {
    Store::store_time storeNow;
    Common::instant localNow;
};

/// @param offsets milliseconds by which nodes' times of day lie ahead of the store's clock.
/// @return their median; nothing when there are none.
std::optional<int64_t> medianOffset(std::vector<int64_t> offsets);

/// @param reading the newest reading of the store's clock.
/// @param offset of true time to the store's clock.
/// @param now a local moment.
/// @return true time at that moment.
Usage::true_time trueTimeAt(const store_reading& reading, int64_t offset, Common::instant now);

} // namespace Control
