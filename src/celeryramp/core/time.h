#pragma once

#include <chrono>

namespace celeryramp {

/*! @brief Monotonic clock of this process; never compared between processes. */
using Clock = std::chrono::steady_clock;
/*! @brief A point on the monotonic clock. Each function that decides takes one as argument. */
using TimePoint = Clock::time_point;
/*! @brief Span in milliseconds. */
using Millis = std::chrono::milliseconds;
/*! @brief Span in microseconds. */
using Micros = std::chrono::microseconds;

/*!
 * @brief Whole milliseconds from one point to another.
 * @return Milliseconds, negative when `to` lies before `from`.
 */
[[nodiscard]] inline Millis millisBetween(TimePoint from, TimePoint to) noexcept
{
    return std::chrono::duration_cast<Millis>(to - from);
}

/*!
 * @brief Seconds from one point to another as a real number.
 * @return Seconds, negative when `to` lies before `from`.
 */
[[nodiscard]] inline double secondsBetween(TimePoint from, TimePoint to) noexcept
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace celeryramp
