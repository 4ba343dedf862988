#pragma once

#include <cstdint>
#include <memory>

#include "core/time.h"

namespace celeryramp {

/*! @brief Quantiles of a stream of latencies, in seconds. */
struct LatencyFigures
{
    std::uint64_t count = 0;
    double sum = 0.0;
    double max = 0.0;
    double p50 = 0.0;
    double p90 = 0.0;
    double p99 = 0.0;
    double p999 = 0.0;
};

/*! @brief Summary of latencies by Boost.Accumulators; safe to use from several threads. */
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(const LatencySummary &) = delete;
    LatencySummary &operator=(const LatencySummary &) = delete;

    /*! @brief Takes one latency in. */
    void record(Micros latency);

    /*! @return Figures so far. */
    [[nodiscard]] LatencyFigures figures() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryramp
