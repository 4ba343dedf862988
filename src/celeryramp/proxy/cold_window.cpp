#include "proxy/cold_window.h"

#include <algorithm>

namespace celeryramp::proxy {

int ColdWindow::left(double perSecond, TimePoint now)
{
    if (!isCold(now) || perSecond <= 0.0) {
        return -1;
    }
    if (now < m_blockedUntil) {
        return 0;
    }
    while (!m_handedOver.empty() && now - m_handedOver.front() >= kWindow) {
        m_handedOver.pop_front();
    }
    const int ofSecond = static_cast<int>(perSecond) - static_cast<int>(m_handedOver.size());
    return std::max(0, std::min(ofSecond, static_cast<int>(paced(perSecond, now))));
}

double ColdWindow::paced(double perSecond, TimePoint now) const
{
    return std::min(kBurst, m_paced + secondsBetween(m_pacedAt, now) * perSecond);
}

void ColdWindow::onHandedOver(double perSecond, TimePoint now)
{
    m_paced = std::max(0.0, paced(perSecond, now) - 1.0);
    m_pacedAt = now;
    m_handedOver.push_back(now);
    if (m_handedOver.size() > kRemembered) {
        m_handedOver.pop_front();
    }
}

} // namespace celeryramp::proxy
