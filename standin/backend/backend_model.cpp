#include "backend/backend_model.h"

#include <algorithm>

namespace standin {

namespace {

constexpr celeryramp::Millis kOverloadSetback{20};

} // namespace

BackendModel::BackendModel(BackendModelSettings settings, celeryramp::TimePoint now)
    : m_settings{settings}, m_coldAt{now}
{ }

void BackendModel::turnCold(celeryramp::TimePoint now)
{
    m_coldAt = now;
}

int BackendModel::bears(celeryramp::TimePoint now) const
{
    const auto cold = double(m_settings.coldSlots);
    return static_cast<int>(cold + (double(m_settings.slots) - cold) * warmth(now));
}

celeryramp::Micros BackendModel::workTime(celeryramp::TimePoint now) const
{
    const auto factor = 1.0 + (m_settings.coldFactor - 1.0) * (1.0 - warmth(now));
    return celeryramp::Micros{static_cast<std::int64_t>(double(m_settings.work.count()) * factor)};
}

void BackendModel::onOverload(celeryramp::TimePoint now)
{
    m_coldAt = std::min(now, m_coldAt + kOverloadSetback);
}

double BackendModel::warmth(celeryramp::TimePoint now) const
{
    if (m_settings.warmTime.count() == 0) {
        return 1.0;
    }
    const auto whole = std::chrono::duration<double>(m_settings.warmTime).count();
    return std::clamp(celeryramp::secondsBetween(m_coldAt, now) / whole, 0.0, 1.0);
}

} // namespace standin
