#pragma once

#include <deque>

#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief Counts what a server was handed in any one second, while it may be cold.
 *
 * What it bears is spread over the second: calls that come later in it, such as those of servers
 * that were handed work at its start, find room too.
 */
class ColdWindow
{
public:
    /*! @brief The server is cold until then, as far as is known. Never shortens by itself. */
    void markCold(TimePoint until) noexcept { m_coldUntil = std::max(m_coldUntil, until); }

    /*! @brief The server was shown to be warm. */
    void markWarm(TimePoint now) noexcept { m_coldUntil = now; }

    /*! @brief Counts the last second as used up: what was handed over in it is not known. */
    void markUsed(TimePoint now) noexcept { m_blockedUntil = now + kWindow; }

    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return now < m_coldUntil; }

    /*! @return Requests that may be handed over now; negative for any number. */
    [[nodiscard]] int left(double perSecond, TimePoint now);

    /*! @brief A request is handed over. */
    void onHandedOver(double perSecond, TimePoint now);

private:
    static constexpr Millis kWindow{1000};
    /*! Requests that may be handed over at once; more would be missing at the end of a second. */
    static constexpr double kBurst = 1.0;
    /*! Hand-overs remembered; more within a second only occur at warm servers. */
    static constexpr std::size_t kRemembered = 256;

    /*! @return Of the burst, what may be handed over now. */
    [[nodiscard]] double paced(double perSecond, TimePoint now) const;

    std::deque<TimePoint> m_handedOver;
    double m_paced = kBurst; /*!< When it was last changed. */
    TimePoint m_pacedAt;
    TimePoint m_coldUntil;
    TimePoint m_blockedUntil;
};

} // namespace celeryramp::proxy
