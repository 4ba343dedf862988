#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace celeryramp::admission {

/*! @brief An ended call, as evidence of the concurrency that a backend server sustains. */
struct ConcurrencySample
{
    std::uint32_t route = 0;
    int running = 1; /*!< Calls that the server ran with it, itself included. */
    Micros own{0}; /*!< Service time without the waits for calls that the server made. */
};

/*! @brief Strategy that decides how many calls a server gets at a time. */
class ConcurrencyLimit
{
public:
    virtual ~ConcurrencyLimit() = default;
    virtual void onAnswer(const ConcurrencySample &sample, TimePoint now) = 0;
    /*! @param slots Number that the server publishes. @return Limit from 1 to `slots`. */
    [[nodiscard]] virtual int limit(int slots, TimePoint now) const = 0;
    /*! @brief Forgets everything, for a server that has restarted. */
    virtual void reset() = 0;
};

/*! @brief Uses the published slots as the limit. */
class PublishedConcurrency final : public ConcurrencyLimit
{
public:
    void onAnswer(const ConcurrencySample & /*sample*/, TimePoint /*now*/) override { }
    [[nodiscard]] int limit(int slots, TimePoint /*now*/) const override { return slots; }
    void reset() override { }
};

/*!
 * @brief Finds the concurrency beyond which the throughput of the server no longer grows.
 *
 * Service times are compared with the mean of their route, so that unlike work does not look like
 * load. It begins with half of the slots and tries the neighbours of the best known concurrency
 * while nothing recent is known of them, which follows a server that changes.
 */
class ThroughputConcurrency final : public ConcurrencyLimit
{
public:
    void onAnswer(const ConcurrencySample &sample, TimePoint now) override;
    [[nodiscard]] int limit(int slots, TimePoint now) const override;
    void reset() override;

private:
    /*! Moving sums of relative service times, at `at`. */
    struct Level
    {
        double weight = 0.0;
        double sum = 0.0;
        TimePoint at;
    };

    [[nodiscard]] static double decay(const Level &level, TimePoint now);
    /*! @return Relative throughput at a concurrency; nothing without enough recent samples. */
    [[nodiscard]] std::optional<double> throughput(int running, TimePoint now) const;

    struct RouteMean
    {
        double samples = 0.0;
        double millis = 0.0;
    };

    std::map<std::uint32_t, RouteMean> m_routeMillis; /*!< Mean own time by route. */
    std::vector<Level> m_levels; /*!< By concurrency; index 0 is unused. */
};

/*! @return The strategy of this name, `published` or `throughput`; null for any other. */
[[nodiscard]] std::unique_ptr<ConcurrencyLimit> makeConcurrencyLimit(std::string_view name);

} // namespace celeryramp::admission
