#pragma once

#include <optional>

#include "core/time.h"

namespace celeryramp::admission {

/*! @brief What is known when a request is refused, from the replies of the gates that were asked.
 */
struct RefusalState
{
    Millis callerTimeLeft{0}; /*!< Until the caller's deadline. */
    Millis queueDelay{0}; /*!< Time until the shortest queue has room. */
    bool isQueueFull = false; /*!< Refused because of a queue, like others at the same time. */
    std::optional<Millis> warmIn; /*!< Until the first server is warm; set if all are cold. */
    bool isUnreachable = false; /*!< No server of the service can be reached. */
    double jitter = 0.0; /*!< From 0 to 1; differs between callers. */
};

/*!
 * @brief Chooses when a refused caller is told to return.
 *
 * Callers wait for a part of their remaining time at most, and have few retries. Where it is known
 * when there will be room, they return then, spread over time; they return soon only where the
 * target may still be met.
 * @return Delay for `Retry-After`, at least 50 ms.
 */
[[nodiscard]] Millis returnDelay(const RefusalState &refusal);

} // namespace celeryramp::admission
