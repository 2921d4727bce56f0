#include "Common/BootClock.h"

#include <ctime>

namespace Common {

instant bootClockNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Common
