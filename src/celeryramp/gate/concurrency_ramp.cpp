#include "gate/concurrency_ramp.h"

#include <algorithm>
#include <cmath>

namespace celeryramp {

namespace internal {

constexpr double kInitialLimit = 2.0;
constexpr Millis kMinGrowthInterval{
        400}; // A server needs seconds to warm up, however fast it answers.
constexpr int kGoodAnswersToGrow = 4;
constexpr double kBaselineSmoothing = 0.05;
constexpr double kSlowLatencyFactor = 4.0; // Ratio to the baseline; a cold server exceeds it.
constexpr int kSlowAnswersToFall = 3;
constexpr double kSlowFallFactor = 0.7;
constexpr double kOverloadFallFactor = 0.5;
constexpr Millis kMinFallInterval{50}; // Calls that ran during a fall report the same overload.
constexpr double kMinUtilization
        = 0.8; // Answers count for growth only if this part of the limit is used.

} // namespace internal

ConcurrencyRamp::ConcurrencyRamp(int slots, bool isOn)
    : m_isOn{isOn}, m_slots{std::max(1.0, double(slots))},
      m_limit{isOn ? std::min(internal::kInitialLimit, m_slots) : m_slots}
{ }

void ConcurrencyRamp::reset(TimePoint now)
{
    if (!m_isOn) {
        return;
    }
    m_limit = std::min(internal::kInitialLimit, m_slots);
    m_consecutiveSlowAnswers = 0;
    m_goodAnswers = 0;
    m_lastChangeAt = now;
    ++m_falls;
}

void ConcurrencyRamp::onFinished(Evidence evidence, Micros latency, int running, TimePoint now)
{
    if (!m_isOn) {
        return;
    }
    if (evidence == Evidence::Shed || evidence == Evidence::Failed) {
        fall(internal::kOverloadFallFactor, now);
        return;
    }
    const auto micros = double(latency.count());
    const bool hasBaseline = m_baselineMicros > 0.0;
    const bool isSlow = hasBaseline && micros > internal::kSlowLatencyFactor * m_baselineMicros;
    m_consecutiveSlowAnswers
            = isSlow || evidence == Evidence::Late ? m_consecutiveSlowAnswers + 1 : 0;
    if (m_consecutiveSlowAnswers >= internal::kSlowAnswersToFall) {
        fall(evidence == Evidence::Late ? internal::kOverloadFallFactor : internal::kSlowFallFactor,
             now);
        m_consecutiveSlowAnswers = 0;
    }
    // Slow answers also move the baseline, so that the limit recovers when a server stays slower.
    m_baselineMicros = hasBaseline
            ? m_baselineMicros + internal::kBaselineSmoothing * (micros - m_baselineMicros)
            : micros;
    if (!isSlow && evidence == Evidence::InTarget) {
        grow(running, now);
    }
}

Micros ConcurrencyRamp::baseline() const noexcept
{
    return Micros{static_cast<std::int64_t>(m_baselineMicros)};
}

void ConcurrencyRamp::grow(int running, TimePoint now)
{
    if (double(running) < internal::kMinUtilization * double(limit())) {
        return;
    }
    const bool hasEnoughAnswers = ++m_goodAnswers >= internal::kGoodAnswersToGrow;
    if (!hasEnoughAnswers || now - m_lastChangeAt < internal::kMinGrowthInterval) {
        return;
    }
    m_limit = std::min(m_slots, std::floor(m_limit) + 1.0);
    m_goodAnswers = 0;
    m_lastChangeAt = now;
}

void ConcurrencyRamp::fall(double factor, TimePoint now)
{
    if (now - m_lastChangeAt < internal::kMinFallInterval) {
        return;
    }
    m_lastChangeAt = now;
    m_goodAnswers = 0;
    m_limit = std::max(1.0, m_limit * factor);
    ++m_falls;
}

} // namespace celeryramp
