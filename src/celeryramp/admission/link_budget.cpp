#include "admission/link_budget.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::admission {

namespace internal {

/*! Share of the link for answers; the rest is for frames around them and other traffic. */
constexpr double kAnswerShare = 0.85;
constexpr double kBytesPerMilliPerMegabit = 125.0;

} // namespace internal

void LinkBudget::setRate(double megabits)
{
    m_bytesPerMilli = megabits * internal::kBytesPerMilliPerMegabit * internal::kAnswerShare;
}

double LinkBudget::backlog(TimePoint now) const
{
    return std::max(0.0, m_backlog - secondsBetween(m_at, now) * 1000.0 * m_bytesPerMilli);
}

void LinkBudget::reserve(std::size_t bytes, TimePoint now)
{
    m_backlog = backlog(now) + static_cast<double>(bytes);
    m_at = now;
}

void LinkBudget::settle(std::size_t reserved, std::size_t actual, TimePoint now)
{
    m_backlog = std::max(
            0.0, backlog(now) + static_cast<double>(actual) - static_cast<double>(reserved));
    m_at = now;
}

Millis LinkBudget::wait(TimePoint now) const
{
    return isLimited() ? Millis{std::lround(backlog(now) / m_bytesPerMilli)} : Millis{0};
}

Millis LinkBudget::transfer(std::size_t bytes) const
{
    return isLimited() ? Millis{std::lround(static_cast<double>(bytes) / m_bytesPerMilli)}
                       : Millis{0};
}

} // namespace celeryramp::admission
