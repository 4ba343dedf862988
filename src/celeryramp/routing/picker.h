#pragma once

#include <functional>
#include <string>
#include <vector>

#include <gsl/span>

#include "config/snapshot.h"
#include "core/random.h"
#include "core/time.h"
#include "routing/load_table.h"
#include "routing/zone_ramp.h"

namespace celeryramp {

/*! @brief Returns whether a server accepts new calls, as far as this node knows. */
using IsOpen = std::function<bool(const std::string &server)>;

/*!
 * @brief Chooses the gate for a call by the power of two random choices, preferring the local zone.
 *
 * Calls spill over to other zones if the pressure of the better local candidate is much higher than
 * that of a remote one. Outdated information costs at most a refused attempt, because the gate
 * decides whether a call runs.
 */
class Picker
{
public:
    /*!
     * @param zone Zone of this node.
     * @param seed Seed of the random number generator.
     * @param isZoneAware Whether zones are preferred and ramped; false in baseline measurements.
     */
    Picker(std::string zone, std::uint64_t seed, bool isZoneAware = true)
        : m_zone{std::move(zone)}, m_random{seed}, m_isZoneAware{isZoneAware}
    { }

    /*!
     * @brief Picks a server of a service.
     *
     * Servers that are backing off, and those which a zone's ramp leaves out, are only picked if
     * there is no other candidate. Zones with weight 0 are never considered.
     * @param excluded Servers that must not be picked, since they already refused this call.
     * @return Name of the server; empty if there is no candidate.
     */
    [[nodiscard]] std::string pick(const Snapshot &snapshot, const std::string &service,
                                   gsl::span<const std::string> excluded, const IsOpen &isOpen,
                                   const LoadTable &loads, const ZoneRamp &zones, TimePoint now);

private:
    struct Candidate
    {
        const BackendServer *server = nullptr;
        double pressure = 0.0;
    };
    using Candidates = std::vector<const BackendServer *>;

    void collect(const Snapshot &snapshot, const std::string &service, const std::string &zone,
                 gsl::span<const std::string> excluded, const IsOpen &isOpen,
                 const LoadTable &loads, const ZoneRamp &zones, TimePoint now,
                 Candidates &preferred, Candidates &fallback);
    [[nodiscard]] Candidate betterOfTwo(const Candidates &candidates, const LoadTable &loads,
                                        TimePoint now);

    std::string m_zone;
    RandomEngine m_random;
    bool m_isZoneAware;
};

} // namespace celeryramp
