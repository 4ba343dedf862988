#include "admission/return_delay.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::admission {

namespace internal {

/*! Share of its remaining time that a caller waits before it returns. */
constexpr double kPatience = 1.0 / 3.0;
constexpr Millis kMinDelay{50};
/*! Time over which callers return after the first server has become warm. */
constexpr Millis kWarmSpread{500};
/*! Longest addition to the delay of a queue, as a share of it. */
constexpr double kQueueSpread = 1.0;

[[nodiscard]] Millis part(Millis time, double share)
{
    return Millis{std::lround(static_cast<double>(time.count()) * share)};
}

} // namespace internal

Millis returnDelay(const RefusalState &refusal)
{
    const auto patience = internal::part(refusal.callerTimeLeft, internal::kPatience);
    auto delay = refusal.queueDelay;
    if (refusal.warmIn) {
        delay = std::min(patience,
                         *refusal.warmIn + internal::part(internal::kWarmSpread, refusal.jitter));
    } else if (refusal.isUnreachable) {
        delay = internal::part(patience, 0.5 + 0.5 * refusal.jitter);
    } else if (refusal.isQueueFull) {
        // Without jitter, all callers that are refused in a moment would retry in one.
        delay = internal::part(std::max(delay, internal::kMinDelay),
                               1.0 + internal::kQueueSpread * refusal.jitter);
    }
    return std::max(internal::kMinDelay, delay);
}

} // namespace celeryramp::admission
