#pragma once

#include <algorithm>

#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief The course of a graceful shutdown, and which requests may still be taken in it.
 *
 * At first all requests are taken, since callers learn only by and by that the node leaves. A
 * request that is taken later must end before the node does, whatever its server takes: its
 * deadline lies within the shutdown. Any other one is refused, while it is known not to have run.
 */
class ShutdownSchedule
{
public:
    /*! Callers poll readiness once a second and may keep sending until they have polled twice. */
    static constexpr Millis kListenTime{2600};
    /*! The node ends this long before the grace period does. */
    static constexpr Millis kMargin{600};

    /*! @param grace Time from the stop request until the process is killed. */
    ShutdownSchedule(TimePoint beganAt, Millis grace)
        : m_beganAt{beganAt}, m_endsAt{beganAt + grace - kMargin}
    { }

    /*! @return True while the node accepts connections. */
    [[nodiscard]] bool isListening(TimePoint now) const { return now < m_beganAt + kListenTime; }
    /*! @return True once the node has to end, with whatever still runs. */
    [[nodiscard]] bool isOverdue(TimePoint now) const { return now >= m_endsAt; }
    /*! @return True if a request with this deadline may be taken. */
    [[nodiscard]] bool mayTake(TimePoint deadline, TimePoint now) const
    {
        return isListening(now) || deadline <= m_endsAt;
    }
    [[nodiscard]] Millis elapsed(TimePoint now) const { return millisBetween(m_beganAt, now); }
    /*! @return Time until the node ends at the latest. */
    [[nodiscard]] Millis timeLeft(TimePoint now) const
    {
        return std::max(millisBetween(now, m_endsAt), Millis{0});
    }

private:
    TimePoint m_beganAt;
    TimePoint m_endsAt;
};

} // namespace celeryramp::proxy
