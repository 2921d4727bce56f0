#include "Control/TrueTime.h"

#include <algorithm>

namespace Control {

std::optional<int64_t> medianOffset(std::vector<int64_t> offsets)
{
    if (offsets.empty())
        return {};
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

void updateReading(std::optional<store_reading>& known, const store_reading& candidate)
{
    /// Clocks drift by some milliseconds in this time.
    constexpr std::chrono::seconds maxReadingAge { 60 };
    if (!known || candidate.localNow - known->localNow >= maxReadingAge || candidate.localNow <= localTimeOf(*known, candidate.storeNow))
        known = candidate;
}

Common::instant localTimeOf(const store_reading& reading, Store::store_time time)
{
    return reading.localNow + std::chrono::milliseconds(time.value - reading.storeNow.value);
}

Usage::true_time trueTimeAt(const store_reading& reading, int64_t offset, Common::instant now)
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - reading.localNow);
    return { reading.storeNow.value + offset + passed.count() };
}

} // namespace Control
