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

/*! @brief Says whether new work may go to a server, as far as this node knows. */
using IsOpen = std::function<bool(const std::string &server)>;

/*!
 * @brief Chooses a gate: power of two choices on pressure, own zone first.
 * Calls spill to other zones when the better choice at home is much busier than one elsewhere.
 * A wrong view costs a refused attempt at most; the gate decides whether work is done.
 */
class Picker
{
public:
    /*! @param zone Zone of this node. @param seed Seed of the random choices. @param heedsZones Off
     * in baselines. */
    Picker(std::string zone, std::uint64_t seed, bool heedsZones = true)
        : m_zone{std::move(zone)}, m_random{seed}, m_heedsZones{heedsZones}
    { }

    /*!
     * @brief Picks a server of a service.
     * @param excluded Servers that already refused this call.
     * @return Name of the server, or empty when none is open.
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
                 const LoadTable &loads, const ZoneRamp &zones, TimePoint now, Candidates &fit,
                 Candidates &shunned);
    [[nodiscard]] Candidate betterOfTwo(const Candidates &candidates, const LoadTable &loads,
                                        TimePoint now);

    std::string m_zone;
    RandomEngine m_random;
    bool m_heedsZones;
};

} // namespace celeryramp
