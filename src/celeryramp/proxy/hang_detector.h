#pragma once

#include <optional>

#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief Recognizes that a server leaves requests without an answer, and says how long a request
 * that may be repeated should wait for one.
 *
 * A single late answer says little, since some requests take several times as long as most. Several
 * overdue requests at a time, or requests that ended without an answer lately, show that the server
 * hangs. A repeatable request is then better tried at another server than kept until its deadline.
 * Requests that must not be repeated always wait.
 */
class HangDetector
{
public:
    /*! @brief Records an answered request. @param spent Time from handover to the answer. */
    void onAnswered(Micros spent);
    /*! @brief Records a request that ended without an answer. */
    void onUnanswered(Micros spent, TimePoint now);

    /*! @return Age from which a running request is overdue. */
    [[nodiscard]] Millis overdueAge() const;

    /*!
     * @param overdue Number of running requests that are older than `overdueAge`.
     * @return Age at which a repeatable request should be given up; nothing while the server does
     * not seem to hang.
     */
    [[nodiscard]] std::optional<Millis> patience(int overdue, TimePoint now) const;

private:
    [[nodiscard]] double unanswered(TimePoint now) const;

    double m_meanMillis = 0.0; /*!< Moving average of the time to an answer; 0 before the first. */
    double m_unanswered = 0.0; /*!< Requests without an answer, fading; at `m_unansweredAt`. */
    TimePoint m_unansweredAt;
};

} // namespace celeryramp::proxy
