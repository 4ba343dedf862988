#include "proxy/idle_reuse.h"

#include <algorithm>

namespace celeryramp::proxy {

namespace internal {

/*! Longest rest for a request that must not be repeated while nothing was learnt. */
constexpr Millis kMaxRestNonIdempotent{1000};
/*! A shorter rest has not caused the loss; the server or its connections failed otherwise. */
constexpr Millis kMinSuspiciousRest{50};
/*! Time for which a learnt rest is heeded. */
constexpr Millis kLearntFor{20'000};

} // namespace internal

Millis IdleReuse::maxRest(bool isIdempotent, TimePoint now) const
{
    const auto usual = isIdempotent ? Millis::max() : internal::kMaxRestNonIdempotent;
    if (!m_learntRest || millisBetween(m_learntAt, now) > internal::kLearntFor) {
        return usual;
    }
    return std::min(usual, *m_learntRest);
}

void IdleReuse::onLost(Millis rest, TimePoint now)
{
    if (rest < internal::kMinSuspiciousRest) {
        return;
    }
    // The server may forget connections after a shorter rest than the one that was seen.
    const auto bound = rest / 2;
    const bool isFaded = !m_learntRest || millisBetween(m_learntAt, now) > internal::kLearntFor;
    m_learntRest = isFaded ? bound : std::min(*m_learntRest, bound);
    m_learntAt = now;
}

} // namespace celeryramp::proxy
