#pragma once

#include <cstdint>

#include "core/time.h"

namespace celeryramp {

/*! @brief Result of one call to the backend server, as evidence of the server's load. */
enum class Evidence {
    InTarget, /*!< Answered within the latency target. */
    Late, /*!< Answered after the latency target. */
    Shed, /*!< Refused by the server because of its load. */
    Failed /*!< No answer or a server error. */
};

/*!
 * @brief Adapts the concurrency limit of a backend server to its answers.
 *
 * The limit starts low, grows by one at a time after good answers and falls immediately when the
 * server is overloaded or answers like a cold one. Health endpoints are not taken into account.
 */
class ConcurrencyRamp
{
public:
    /*!
     * @param slots Requests that the warm server runs concurrently; maximum of the limit.
     * @param isOn Whether the limit adapts; if false, it is always equal to the slots.
     */
    explicit ConcurrencyRamp(int slots, bool isOn = true);

    /*! @brief Resets the limit to its initial value, since the server may be cold. */
    void reset(TimePoint now);

    /*!
     * @brief Adjusts the limit after a call has finished.
     * @param evidence Result of the call.
     * @param latency Time that the call took at the server.
     * @param running Number of active calls, including this one.
     * @param now Current time.
     */
    void onFinished(Evidence evidence, Micros latency, int running, TimePoint now);

    /*! @return Number of calls that may run concurrently; at least 1. */
    [[nodiscard]] int limit() const noexcept { return static_cast<int>(m_limit); }

    /*! @return Smoothed latency of all answers, slow ones included; zero before the first. */
    [[nodiscard]] Micros baseline() const noexcept;

    /*! @return Number of times that the limit fell or was reset. */
    [[nodiscard]] std::uint64_t falls() const noexcept { return m_falls; }

private:
    void grow(int running, TimePoint now);
    void fall(double factor, TimePoint now);

    bool m_isOn;
    double m_slots;
    double m_limit;
    double m_baselineMicros = 0.0;
    int m_consecutiveSlowAnswers = 0;
    int m_goodAnswers = 0; /*!< Since the limit last changed. */
    TimePoint m_lastChangeAt;
    std::uint64_t m_falls = 0;
};

} // namespace celeryramp
