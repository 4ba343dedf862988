#include "admission/service_times.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::admission {

namespace internal {

/*! Ratio of the bounds of a bucket. 64 of them reach from 1 ms to 13 s. */
constexpr double kBucketRatio = 1.16;
/*! Factor on the weight of all samples with each new one; the last 40 or so decide. */
constexpr double kSampleDecay = 0.975;

} // namespace internal

void ServiceTimeDistribution::record(Micros spent)
{
    const double millis = std::max(1.0, static_cast<double>(spent.count()) / 1000.0);
    const auto bucket
            = static_cast<std::size_t>(std::log(millis) / std::log(internal::kBucketRatio));
    for (auto &weight : m_weights) {
        weight *= static_cast<float>(internal::kSampleDecay);
    }
    m_weights.at(std::min(bucket, kBuckets - 1)) += 1.0F;
    m_total = m_total * internal::kSampleDecay + 1.0;
}

Millis ServiceTimeDistribution::quantile(double share) const
{
    double sum = 0.0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
        sum += m_weights.at(i);
        if (sum >= share * m_total && sum > 0.0) {
            const auto middle = std::pow(internal::kBucketRatio, static_cast<double>(i) + 0.5);
            return Millis{std::lround(middle)};
        }
    }
    return Millis{0};
}

void ServiceTimes::record(std::uint32_t route, Micros spent)
{
    m_all.record(spent);
    if (m_byRoute.count(route) > 0 || m_byRoute.size() < kMaxRoutes) {
        m_byRoute[route].record(spent);
    }
}

Millis ServiceTimes::quantile(std::uint32_t route, double share, Millis fallback) const
{
    if (const auto it = m_byRoute.find(route); it != m_byRoute.end()) {
        return it->second.quantile(share);
    }
    return m_all.isEmpty() ? fallback : m_all.quantile(share);
}

} // namespace celeryramp::admission
