#include "Common/Random.h"

#include <random>

namespace Common {

uint32_t uniformBelow(random_source& source, uint32_t bound)
{
    return source(bound);
}

double uniformUnit(random_source& source)
{
    constexpr double range = 4294967296.0;
    return source() / range;
}

uint64_t systemSeed()
{
    constexpr int wordBits = 32;
    std::random_device device;
    const uint64_t high = device();
    return (high << wordBits) | device();
}

} // namespace Common
