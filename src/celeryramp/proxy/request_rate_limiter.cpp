#include "proxy/request_rate_limiter.h"

#include <algorithm>

namespace celeryramp::proxy {

namespace internal {

/*! Requests that may be handed over at once, as time at the limit. */
constexpr double kBurstSeconds = 0.25;
/*! Lowest rate that is enforced. Only an answer can tell that a limit has ended. */
constexpr double kMinPerSecond = 0.25;

} // namespace internal

double RequestRateLimiter::enforcedRate() const
{
    if (!isLimited()) {
        return kNoRateLimit;
    }
    return std::max(*m_perSecond, internal::kMinPerSecond);
}

double RequestRateLimiter::capacity() const
{
    return std::max(1.0, enforcedRate() * internal::kBurstSeconds);
}

double RequestRateLimiter::tokensAt(TimePoint now) const
{
    return std::min(capacity(), m_tokens + secondsBetween(m_tokensAt, now) * enforcedRate());
}

void RequestRateLimiter::onAnswer(double perSecond, TimePoint now)
{
    const bool wasLimited = isLimited();
    const double tokens = wasLimited ? tokensAt(now) : 0.0;
    m_perSecond = std::max(0.0, perSecond);
    m_hasAnswer = true;
    if (isLimited()) {
        m_tokens = std::min(tokens, capacity());
        m_tokensAt = now;
    }
}

void RequestRateLimiter::onReport(double perSecond, TimePoint now)
{
    if (m_hasAnswer) {
        return;
    }
    // The lowest report counts: a node may have heard from the server before it named its limit.
    const double known = m_perSecond.value_or(kNoRateLimit);
    if (perSecond < known) {
        const double tokens = isLimited() ? tokensAt(now) : 0.0;
        m_perSecond = std::max(0.0, perSecond);
        m_tokens = std::min(tokens, capacity());
        m_tokensAt = now;
    }
}

void RequestRateLimiter::reset() noexcept
{
    m_perSecond.reset();
    m_hasAnswer = false;
}

int RequestRateLimiter::available(TimePoint now) const
{
    return isLimited() ? static_cast<int>(tokensAt(now)) : -1;
}

void RequestRateLimiter::onHandedOver(TimePoint now)
{
    if (isLimited()) {
        m_tokens = std::max(0.0, tokensAt(now) - 1.0);
        m_tokensAt = now;
    }
}

} // namespace celeryramp::proxy
