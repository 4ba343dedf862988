#include "observe/latency_summary.h"

#include <array>
#include <mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace celeryramp {

namespace ba = boost::accumulators;

namespace internal {

constexpr std::array<double, 4> kProbabilities{0.5, 0.9, 0.99, 0.999};

} // namespace internal

struct LatencySummary::Impl
{
    using Accumulator = ba::accumulator_set<
            double,
            ba::stats<ba::tag::count, ba::tag::sum, ba::tag::max, ba::tag::extended_p_square>>;

    mutable std::mutex mutex;
    Accumulator accumulator{ba::extended_p_square_probabilities = internal::kProbabilities};
};

LatencySummary::LatencySummary() : m_impl{std::make_unique<Impl>()} { }

LatencySummary::~LatencySummary() = default;

void LatencySummary::record(Micros latency)
{
    const std::lock_guard lock{m_impl->mutex};
    m_impl->accumulator(std::chrono::duration<double>(latency).count());
}

LatencyFigures LatencySummary::figures() const
{
    const std::lock_guard lock{m_impl->mutex};
    const auto &all = m_impl->accumulator;
    LatencyFigures figures;
    figures.count = ba::count(all);
    if (figures.count == 0) {
        return figures;
    }
    figures.sum = ba::sum(all);
    figures.max = ba::max(all);
    const auto quantiles = ba::extended_p_square(all);
    figures.p50 = quantiles[0];
    figures.p90 = quantiles[1];
    figures.p99 = quantiles[2];
    figures.p999 = quantiles[3];
    return figures;
}

} // namespace celeryramp
