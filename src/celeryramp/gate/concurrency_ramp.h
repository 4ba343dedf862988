#pragma once

#include <cstdint>

#include "core/time.h"

namespace celeryramp {

/*! @brief How one call to the backend server ended, as evidence. */
enum class Evidence {
    InTarget, /*!< Answered within the latency target. */
    Late, /*!< Answered, but late. */
    Shed, /*!< The server refused for load. */
    Failed /*!< No answer or a server error. */
};

/*!
 * @brief Concurrency that a backend server is given: starts small, grows by one at a time on
 * evidence, falls at once when the server turns cold or overloaded. Health endpoints are not
 * believed.
 */
class ConcurrencyRamp
{
public:
    /*! @param slots Requests the server runs at a time when warm; the limit never exceeds it. */
    /*! @param isOn Whether the limit follows evidence; otherwise it is all slots at once. */
    explicit ConcurrencyRamp(int slots, bool isOn = true);

    /*! @brief The server may be cold: start over. */
    void reset(TimePoint now);

    /*!
     * @brief Takes one finished call in.
     * @param evidence How it ended. @param latency Time at the server.
     * @param running Calls that ran beside it. @param now Present time.
     */
    void onFinished(Evidence evidence, Micros latency, int running, TimePoint now);

    /*! @return Calls that may run at a time now; at least 1. */
    [[nodiscard]] int limit() const noexcept { return static_cast<int>(m_limit); }

    /*! @return Smoothed latency of good answers; zero before the first. */
    [[nodiscard]] Micros baseline() const noexcept;

    /*! @return How often the limit fell. */
    [[nodiscard]] std::uint64_t falls() const noexcept { return m_falls; }

private:
    void grow(int running, TimePoint now);
    void fall(double factor, TimePoint now);

    bool m_isOn;
    double m_slots;
    double m_limit;
    double m_baselineMicros = 0.0;
    int m_slowInARow = 0;
    int m_goodAnswers = 0; /*!< Since the limit last changed. */
    TimePoint m_lastChange;
    std::uint64_t m_falls = 0;
};

} // namespace celeryramp
