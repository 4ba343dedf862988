#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "core/time.h"

namespace celeryramp::admission {

/*!
 * @brief Distribution of recent service times, as a histogram whose bounds grow geometrically.
 * Older samples lose weight, so that it follows a server that changes its speed.
 */
class ServiceTimeDistribution
{
public:
    void record(Micros spent);
    /*! @param share From 0 to 1. @return Time within which this share of the calls ended; zero
     * without samples. The error is half a bucket, 8 % of the time. */
    [[nodiscard]] Millis quantile(double share) const;
    [[nodiscard]] bool isEmpty() const noexcept { return m_total <= 0.0; }

private:
    static constexpr std::size_t kBuckets = 64;
    std::array<float, kBuckets> m_weights{};
    double m_total = 0.0;
};

/*! @brief Service times of one backend server, by route, since the work of routes is unlike. */
class ServiceTimes
{
public:
    /*! Routes that are told apart; calls of others count for all. */
    static constexpr std::size_t kMaxRoutes = 256;

    void record(std::uint32_t route, Micros spent);
    /*! @return The time for calls of this route, or for all calls if the route has no samples;
     * `fallback` without any sample. */
    [[nodiscard]] Millis quantile(std::uint32_t route, double share, Millis fallback) const;

private:
    std::map<std::uint32_t, ServiceTimeDistribution> m_byRoute;
    ServiceTimeDistribution m_all;
};

} // namespace celeryramp::admission
