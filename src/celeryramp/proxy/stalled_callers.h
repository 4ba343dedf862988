#pragma once

#include <cstddef>
#include <vector>

#include "core/time.h"

namespace celeryramp::proxy {

/*! @brief What a caller leaves unread, and since when it has taken nothing. */
struct UnreadResponses
{
    std::size_t bytes = 0;
    Millis stalledFor{0};
};

/*! Time for which a caller takes nothing before it may be reset for the memory that it holds. */
inline constexpr Millis kStallBeforeReset{250};

/*!
 * @brief Selects callers to reset so that what all of them leave unread is within a limit.
 * @return Indexes of stalled callers, those that hold most first; no more than are needed.
 */
[[nodiscard]] std::vector<std::size_t>
selectStalledCallers(const std::vector<UnreadResponses> &callers, std::size_t limit);

} // namespace celeryramp::proxy
