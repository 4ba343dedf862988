#include "admission/concurrency_limit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace celeryramp::admission {

namespace internal {

/*! Time constant with which samples at a concurrency are forgotten. */
constexpr double kMemorySeconds = 6.0;
/*! Samples below which a concurrency counts as not tried. */
constexpr double kMinWeight = 20.0;
/*! A higher concurrency is used if it raises the throughput by this factor. */
constexpr double kMinGain = 1.02;
/*! Least weight of the newest sample in the mean of its route. The mean changes more slowly than
 *  the concurrency, so that all concurrencies are compared with the same. */
constexpr double kRouteWeight = 0.0005;
constexpr std::size_t kMaxRoutes = 256;
constexpr int kMaxRunning = 4096;

} // namespace internal

double ThroughputConcurrency::decay(const Level &level, TimePoint now)
{
    return std::exp(-secondsBetween(level.at, now) / internal::kMemorySeconds);
}

void ThroughputConcurrency::onAnswer(const ConcurrencySample &sample, TimePoint now)
{
    const double millis = std::max(0.1, static_cast<double>(sample.own.count()) / 1000.0);
    auto it = m_routeMillis.find(sample.route);
    if (it == m_routeMillis.end()) {
        if (m_routeMillis.size() >= internal::kMaxRoutes) {
            return;
        }
        it = m_routeMillis.emplace(sample.route, RouteMean{}).first;
    }
    auto &mean = it->second;
    ++mean.samples;
    mean.millis += std::max(1.0 / mean.samples, internal::kRouteWeight) * (millis - mean.millis);
    const auto running
            = static_cast<std::size_t>(std::clamp(sample.running, 1, internal::kMaxRunning));
    if (m_levels.size() <= running) {
        m_levels.resize(running + 1);
    }
    auto &level = m_levels[running];
    const double kept = decay(level, now);
    level = {level.weight * kept + 1.0, level.sum * kept + millis / mean.millis, now};
}

std::optional<double> ThroughputConcurrency::throughput(int running, TimePoint now) const
{
    const auto i = static_cast<std::size_t>(running);
    if (i >= m_levels.size()
        || m_levels[i].weight * decay(m_levels[i], now) < internal::kMinWeight) {
        return std::nullopt;
    }
    return running * m_levels[i].weight / m_levels[i].sum;
}

int ThroughputConcurrency::limit(int slots, TimePoint now) const
{
    double best = 0.0;
    int chosen = 0;
    for (int n = 1; n <= slots; ++n) {
        if (const auto value = throughput(n, now); value && *value > best * internal::kMinGain) {
            best = *value;
            chosen = n;
        }
    }
    if (chosen == 0) {
        return (slots + 1) / 2;
    }
    if (chosen < slots && !throughput(chosen + 1, now)) {
        return chosen + 1;
    }
    if (chosen > 1 && !throughput(chosen - 1, now)) {
        return chosen - 1;
    }
    return chosen;
}

void ThroughputConcurrency::reset()
{
    m_levels.clear();
}

std::unique_ptr<ConcurrencyLimit> makeConcurrencyLimit(std::string_view name)
{
    using Make = std::unique_ptr<ConcurrencyLimit> (*)();
    constexpr std::array<std::pair<std::string_view, Make>, 2> kStrategies{{
            {"published",
             [] { return std::unique_ptr<ConcurrencyLimit>{new PublishedConcurrency}; }},
            {"throughput",
             [] { return std::unique_ptr<ConcurrencyLimit>{new ThroughputConcurrency}; }},
    }};
    for (const auto &[known, make] : kStrategies) {
        if (known == name) {
            return make();
        }
    }
    return nullptr;
}

} // namespace celeryramp::admission
