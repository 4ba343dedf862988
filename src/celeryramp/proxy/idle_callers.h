#pragma once

#include <cstddef>
#include <optional>

#include <gsl/span>

#include "core/time.h"

namespace celeryramp::proxy {

/*! Time without change after which a connection may be closed for a new one. A caller that sends
 *  its request or waits for an answer is younger, or is not idle. */
inline constexpr Millis kIdleBeforeReplaced{1000};

/*! @brief State of a caller's connection, as far as it matters for closing it. */
struct CallerState
{
    bool isUnserved = false; /*!< No request of it is served: it is idle or sends one. */
    Millis unchangedFor{0};
};

/*!
 * @brief Chooses the connection that is closed so that a new one has a descriptor.
 * @return Index of the one that has been idle or unserved for longest; nothing if all are in use,
 * and the new one is closed then.
 */
[[nodiscard]] std::optional<std::size_t>
selectReplacedCaller(gsl::span<const CallerState> callers) noexcept;

} // namespace celeryramp::proxy
