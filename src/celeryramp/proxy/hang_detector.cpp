#include "proxy/hang_detector.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::proxy {

namespace internal {

constexpr double kMeanWeight = 0.1;
/*! A request is overdue at this multiple of the mean; about 1 % of the usual ones get there. */
constexpr double kOverdueFactor = 3.0;
/*! Weight of an overdue request against one that ended without an answer: it may still be answered.
 */
constexpr double kOverdueWeight = 0.5;
constexpr Millis kMinOverdueAge{50};
/*! Unanswered requests from which the server is taken to hang. */
constexpr double kEvidence = 2.0;
/*! Time constant with which unanswered requests fade. */
constexpr double kFadeSeconds = 4.0;

} // namespace internal

void HangDetector::onAnswered(Micros spent)
{
    const double millis = static_cast<double>(spent.count()) / 1000.0;
    m_meanMillis = m_meanMillis <= 0.0
            ? millis
            : m_meanMillis + internal::kMeanWeight * (millis - m_meanMillis);
}

void HangDetector::onUnanswered(Micros spent, TimePoint now)
{
    if (m_meanMillis <= 0.0
        || static_cast<double>(spent.count()) / 1000.0 < internal::kOverdueFactor * m_meanMillis) {
        return; // ended early by its caller, which says nothing about the server
    }
    m_unanswered = unanswered(now) + 1.0;
    m_unansweredAt = now;
}

Millis HangDetector::overdueAge() const
{
    return m_meanMillis <= 0.0
            ? Millis::max()
            : std::max(internal::kMinOverdueAge,
                       Millis{std::lround(internal::kOverdueFactor * m_meanMillis)});
}

double HangDetector::unanswered(TimePoint now) const
{
    return m_unanswered * std::exp(-secondsBetween(m_unansweredAt, now) / internal::kFadeSeconds);
}

std::optional<Millis> HangDetector::patience(int overdue, TimePoint now) const
{
    const double evidence = unanswered(now) + internal::kOverdueWeight * overdue;
    if (m_meanMillis <= 0.0 || evidence < internal::kEvidence) {
        return std::nullopt;
    }
    return overdueAge();
}

} // namespace celeryramp::proxy
