#pragma once

#include <algorithm>
#include <optional>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Detects pauses of the process and decides whether its keys may be trusted after one.
 *
 * While the process is paused, a key may be withdrawn, and the withdrawal is then already in force
 * on all other nodes. The keys are therefore untrusted from the pause until the configuration is
 * confirmed. If no confirmation arrives within kConfirmTimeout, the node counts as disconnected,
 * and the freshness that the class requires decides instead.
 */
class PauseGuard
{
public:
    /*! Shortest interval without a call of onAlive() that counts as a pause. */
    static constexpr Millis kPauseThreshold{1500};
    /*! Time after a pause for peers or the platform to confirm, long enough for slow ones too. */
    static constexpr Millis kConfirmTimeout{3000};
    /*! Time after a pause within which messages buffered in sockets are read. Confirmations dated
     *  within it are ignored, because such messages appear newer than they are. */
    static constexpr Millis kBacklogDrainTime{200};

    /*!
     * @brief Records that the process is running; call this regularly.
     * @return Length of the pause that this call ends, or nullopt if there was none.
     */
    std::optional<Millis> onAlive(TimePoint now) noexcept
    {
        const auto elapsed = millisBetween(m_lastAliveAt.value_or(now), now);
        m_lastAliveAt = now;
        if (elapsed < kPauseThreshold) {
            return std::nullopt;
        }
        m_resumedAt = now;
        return elapsed;
    }

    /*! @brief Records that the configuration in force was confirmed as of the given time. */
    void onConfirmed(TimePoint asOf) noexcept
    {
        if (m_resumedAt && asOf >= *m_resumedAt + kBacklogDrainTime) {
            m_resumedAt.reset();
        }
    }

    /*! @return True while the keys held by this process must not be trusted. */
    [[nodiscard]] bool areKeysUntrusted(TimePoint now) const noexcept
    {
        if (m_lastAliveAt && millisBetween(*m_lastAliveAt, now) >= kPauseThreshold) {
            return true;
        }
        return m_resumedAt && millisBetween(*m_resumedAt, now) < kConfirmTimeout;
    }

private:
    std::optional<TimePoint> m_lastAliveAt;
    /*! End of the last pause, until a confirmation resets it. */
    std::optional<TimePoint> m_resumedAt;
};

} // namespace celeryramp
