#pragma once

#include <ctime>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Present time of this machine, counting time during which it was suspended.
 * @return A point comparable only with other results of this function.
 */
[[nodiscard]] inline TimePoint bootNow() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

} // namespace celeryramp
