#include "gate/concurrency_ramp.h"

#include <algorithm>
#include <cmath>

namespace celeryramp {

namespace internal {

constexpr double kFirstLimit = 2.0;
constexpr Millis kGrowthPause{400}; /*!< A server warms up in seconds, whatever it answers. */
constexpr int kAnswersToGrow = 4;
constexpr double kSmoothing = 0.05;
constexpr double kColdFactor = 4.0; /*!< Latency over baseline that speaks of a cold server. */
constexpr int kSlowToFall = 3;
constexpr double kLateFactor = 0.7;
constexpr double kShedFactor = 0.5;
constexpr Millis kFallPause{50}; /*!< Calls under way at a fall prove nothing new. */
constexpr double kFullShare = 0.8; /*!< Share of the limit in use that makes an answer evidence. */

} // namespace internal

ConcurrencyRamp::ConcurrencyRamp(int slots, bool isOn)
    : m_isOn{isOn}, m_slots{std::max(1.0, double(slots))},
      m_limit{isOn ? std::min(internal::kFirstLimit, m_slots) : m_slots}
{ }

void ConcurrencyRamp::reset(TimePoint now)
{
    if (!m_isOn) {
        return;
    }
    m_limit = std::min(internal::kFirstLimit, m_slots);
    m_slowInARow = 0;
    m_goodAnswers = 0;
    m_lastChange = now;
    ++m_falls;
}

void ConcurrencyRamp::onFinished(Evidence evidence, Micros latency, int running, TimePoint now)
{
    if (!m_isOn) {
        return;
    }
    if (evidence == Evidence::Shed || evidence == Evidence::Failed) {
        fall(internal::kShedFactor, now);
        return;
    }
    const auto micros = double(latency.count());
    const bool known = m_baselineMicros > 0.0;
    const bool slow = known && micros > internal::kColdFactor * m_baselineMicros;
    m_slowInARow = slow || evidence == Evidence::Late ? m_slowInARow + 1 : 0;
    if (m_slowInARow >= internal::kSlowToFall) {
        fall(evidence == Evidence::Late ? internal::kShedFactor : internal::kLateFactor, now);
        m_slowInARow = 0;
    }
    // The baseline follows slow answers too, so that a server that is slower for good is served.
    m_baselineMicros = known ? m_baselineMicros + internal::kSmoothing * (micros - m_baselineMicros)
                             : micros;
    if (!slow && evidence == Evidence::InTarget) {
        grow(running, now);
    }
}

Micros ConcurrencyRamp::baseline() const noexcept
{
    return Micros{static_cast<std::int64_t>(m_baselineMicros)};
}

void ConcurrencyRamp::grow(int running, TimePoint now)
{
    if (double(running) < internal::kFullShare * double(limit())) {
        return;
    }
    const bool enough = ++m_goodAnswers >= internal::kAnswersToGrow;
    if (!enough || now - m_lastChange < internal::kGrowthPause) {
        return;
    }
    m_limit = std::min(m_slots, std::floor(m_limit) + 1.0);
    m_goodAnswers = 0;
    m_lastChange = now;
}

void ConcurrencyRamp::fall(double factor, TimePoint now)
{
    if (now - m_lastChange < internal::kFallPause) {
        return;
    }
    m_lastChange = now;
    m_goodAnswers = 0;
    m_limit = std::max(1.0, m_limit * factor);
    ++m_falls;
}

} // namespace celeryramp
