#include "directory/revision_lag.h"

namespace celeryramp::directory {

void RevisionLag::onAnnounced(const SourcePosition &position, TimePoint now)
{
    if (position <= m_latest) {
        return;
    }
    m_latest = position;
    if (m_pending.size() < kMaxPending) {
        m_pending.push_back({position, now});
    } else {
        m_pending.back().position = position;
    }
}

void RevisionLag::onHeld(const SourcePosition &position)
{
    while (!m_pending.empty() && m_pending.front().position <= position) {
        m_pending.pop_front();
    }
}

Millis RevisionLag::lag(TimePoint now) const noexcept
{
    return m_pending.empty() ? Millis{0} : millisBetween(m_pending.front().at, now);
}

} // namespace celeryramp::directory
