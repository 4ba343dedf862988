#include "directory/revision_lag.h"

namespace celeryramp::directory {

void RevisionLag::onAnnounced(std::int64_t revision, TimePoint now)
{
    if (revision <= m_latest) {
        return;
    }
    m_latest = revision;
    if (m_pending.size() < kMaxPending) {
        m_pending.push_back({revision, now});
    } else {
        m_pending.back().revision = revision;
    }
}

void RevisionLag::onHeld(std::int64_t revision)
{
    while (!m_pending.empty() && m_pending.front().revision <= revision) {
        m_pending.pop_front();
    }
}

Millis RevisionLag::lag(TimePoint now) const noexcept
{
    return m_pending.empty() ? Millis{0} : millisBetween(m_pending.front().at, now);
}

} // namespace celeryramp::directory
