#include "directory/source_outage.h"

#include <algorithm>

namespace celeryramp::directory {

namespace internal {

/*! Entries do not expire in outages that are shorter. */
constexpr Millis kShortestOutage{2500};
/*! Time after an outage within which servers renew their entries. */
constexpr Millis kRenewalTime{2700};

} // namespace internal

void SourceOutage::onReadFailed(TimePoint requestedAt) noexcept
{
    m_lastFailedRequest = std::max(m_lastFailedRequest, requestedAt);
}

void SourceOutage::onReplicaComplete(TimePoint asOf) noexcept
{
    if (m_lastFailedRequest > m_completeAsOf
        && millisBetween(m_completeAsOf, asOf) > internal::kShortestOutage) {
        m_renewalEnd = m_lastFailedRequest + internal::kRenewalTime;
    }
    m_completeAsOf = std::max(m_completeAsOf, asOf);
}

Millis SourceOutage::renewalTimeLeft(TimePoint now) const noexcept
{
    return std::max(millisBetween(now, m_renewalEnd), Millis{0});
}

} // namespace celeryramp::directory
