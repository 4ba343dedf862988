#pragma once

#include <algorithm>
#include <optional>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Whether a process that was stopped for a while may still act on keys it believed before.
 *
 * A withdrawal that was published meanwhile is in force everywhere else. The process therefore
 * doubts its keys from the pause until somebody confirms the configuration, or until it has waited
 * long enough to count as cut off, from where on the freshness that a class asks for decides.
 */
class WakeGuard
{
public:
    /*! Time without a sign of life of the own duties that counts as a pause. */
    static constexpr Millis kPauseNoticed{1500};
    /*! Time after a pause in which peers or the platform confirm, also slow ones. */
    static constexpr Millis kConfirmWait{3000};
    /*! Messages that waited in sockets during the pause are read within this time, and look newer
     *  than they are. */
    static constexpr Millis kBacklog{200};

    /*! @brief A regular sign of life. @return The pause that ended with it, if there was one. */
    std::optional<Millis> onAlive(TimePoint now) noexcept
    {
        const auto silence = millisBetween(m_aliveAt.value_or(now), now);
        m_aliveAt = now;
        if (silence < kPauseNoticed) {
            return std::nullopt;
        }
        m_wokeAt = now;
        return silence;
    }

    /*! @brief The configuration in force was confirmed, as of that time. */
    void onConfirmed(TimePoint asOf) noexcept
    {
        if (m_wokeAt && asOf >= *m_wokeAt + kBacklog) {
            m_wokeAt.reset();
        }
    }

    /*! @return True while keys that are held must not be believed. */
    [[nodiscard]] bool doubtsKeys(TimePoint now) const noexcept
    {
        if (m_aliveAt && millisBetween(*m_aliveAt, now) >= kPauseNoticed) {
            return true;
        }
        return m_wokeAt && millisBetween(*m_wokeAt, now) < kConfirmWait;
    }

private:
    std::optional<TimePoint> m_aliveAt;
    std::optional<TimePoint> m_wokeAt; /*!< Set until the configuration is confirmed. */
};

} // namespace celeryramp
