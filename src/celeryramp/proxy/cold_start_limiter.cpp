#include "proxy/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::proxy {

int ColdStartLimiter::available(double perSecond, TimePoint now)
{
    if (!isCold(now) || perSecond <= 0.0) {
        return -1;
    }
    if (now < m_blockedUntil) {
        return 0;
    }
    while (!m_handovers.empty() && now - m_handovers.front() >= kWindow) {
        m_handovers.pop_front();
    }
    // Rounded up: the pacing keeps the average, which a window of whole requests would miss.
    const int inWindow
            = static_cast<int>(std::ceil(perSecond)) - static_cast<int>(m_handovers.size());
    return std::max(0, std::min(inWindow, static_cast<int>(availableTokens(perSecond, now))));
}

double ColdStartLimiter::availableTokens(double perSecond, TimePoint now) const
{
    return std::min(kBurst, m_tokens + secondsBetween(m_tokensAt, now) * perSecond);
}

void ColdStartLimiter::onHandedOver(double perSecond, TimePoint now)
{
    m_tokens = std::max(0.0, availableTokens(perSecond, now) - 1.0);
    m_tokensAt = now;
    m_handovers.push_back(now);
    if (m_handovers.size() > kMaxHandovers) {
        m_handovers.pop_front();
    }
}

} // namespace celeryramp::proxy
