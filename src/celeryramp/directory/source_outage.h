#pragma once

#include "core/time.h"

namespace celeryramp::directory {

/*!
 * @brief Tells for how long a missing server entry may be an effect of an outage of the source.
 *
 * Servers cannot renew their entries while the source is unavailable. Entries that expire in an
 * outage are back soon after its end; one that is missing later belongs to a server that has left.
 * The end itself is not observed, but the last read that failed was requested before it. The time
 * for renewals counts from that request, so it is over when a missing entry means that its server
 * has left.
 */
class SourceOutage
{
public:
    /*! @brief A read that was requested then got no usable response. */
    void onReadFailed(TimePoint requestedAt) noexcept;

    /*! @brief The replica reflects the source as it was then. */
    void onReplicaComplete(TimePoint asOf) noexcept;

    /*! @return Time that servers have left to renew entries that expired in the last outage; zero
     * if a missing entry means that its server has left. */
    [[nodiscard]] Millis renewalTimeLeft(TimePoint now) const noexcept;

private:
    TimePoint m_completeAsOf;
    TimePoint m_lastFailedRequest;
    TimePoint m_renewalEnd;
};

} // namespace celeryramp::directory
